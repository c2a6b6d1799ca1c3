package org.citrontide.wire.link;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleStateEvent;
import org.citrontide.wire.generated.Challenge;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Hello;
import org.citrontide.wire.generated.ProcessIdentity;
import org.citrontide.wire.generated.Welcome;

/**
 * Authenticates one connection, then hands its frames on and sends heartbeats.
 *
 * <p>Invariant: no frame reaches the listener before both sides have proved that they hold the shared key. Confined to
 * the connection's event loop.
 */
final class LinkChannelHandler extends SimpleChannelInboundHandler<Frame> {
    private static final long HANDSHAKE_SECONDS = 5;
    private static final long HEARTBEAT_MILLIS = 1000;

    private final boolean accepting;
    private final LinkProof proof;
    private final ProcessIdentity self;
    private final LinkListener listener;
    private final ByteString nonce = LinkProof.nonce();
    private ByteString peerNonce = ByteString.EMPTY;
    private Link link;
    private ScheduledFuture<?> heartbeats;

    LinkChannelHandler(boolean accepting, LinkProof proof, ProcessIdentity self, LinkListener listener) {
        this.accepting = accepting;
        this.proof = proof;
        this.self = self;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (accepting) {
            ctx.writeAndFlush(Frame.newBuilder()
                    .setChallenge(Challenge.newBuilder().setNonce(nonce))
                    .build());
        }
        ctx.executor().schedule(() -> endLateHandshake(ctx), HANDSHAKE_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (link == null) {
            handshake(ctx, frame);
            return;
        }
        listener.received(link, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (link != null) {
            heartbeats.cancel(false);
            listener.linkDown(link);
            link = null;
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            reject(ctx, LinkFault.SILENT);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            reject(ctx, LinkFault.BAD_FRAME);
            return;
        }
        ctx.close();
    }

    private void handshake(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getBodyCase()) {
            case CHALLENGE -> answerChallenge(ctx, frame.getChallenge());
            case HELLO -> checkHello(ctx, frame.getHello());
            case WELCOME -> checkWelcome(ctx, frame.getWelcome());
            default -> reject(ctx, LinkFault.UNEXPECTED_FRAME);
        }
    }

    private void answerChallenge(ChannelHandlerContext ctx, Challenge challenge) {
        if (accepting || !peerNonce.isEmpty() || challenge.getNonce().isEmpty()) {
            reject(ctx, LinkFault.UNEXPECTED_FRAME);
            return;
        }
        peerNonce = challenge.getNonce();
        Hello hello = Hello.newBuilder()
                .setNonce(nonce)
                .setIdentity(self)
                .setProof(proof.prove(LinkProof.HELLO, peerNonce, nonce, self))
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    }

    private void checkHello(ChannelHandlerContext ctx, Hello hello) {
        if (!accepting) {
            reject(ctx, LinkFault.UNEXPECTED_FRAME);
            return;
        }
        ByteString expected = proof.prove(LinkProof.HELLO, nonce, hello.getNonce(), hello.getIdentity());
        if (!LinkProof.isEqual(expected, hello.getProof())) {
            reject(ctx, LinkFault.WRONG_KEY);
            return;
        }
        Welcome welcome = Welcome.newBuilder()
                .setIdentity(self)
                .setProof(proof.prove(LinkProof.WELCOME, nonce, hello.getNonce(), self))
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setWelcome(welcome).build());
        open(ctx, hello.getIdentity());
    }

    private void checkWelcome(ChannelHandlerContext ctx, Welcome welcome) {
        if (accepting || peerNonce.isEmpty()) {
            reject(ctx, LinkFault.UNEXPECTED_FRAME);
            return;
        }
        ByteString expected = proof.prove(LinkProof.WELCOME, peerNonce, nonce, welcome.getIdentity());
        if (!LinkProof.isEqual(expected, welcome.getProof())) {
            reject(ctx, LinkFault.WRONG_KEY);
            return;
        }
        open(ctx, welcome.getIdentity());
    }

    private void open(ChannelHandlerContext ctx, ProcessIdentity peer) {
        link = new Link(ctx.channel(), peer, !accepting);
        listener.linkUp(link);
        heartbeats =
                ctx.executor().scheduleAtFixedRate(() -> heartbeat(ctx), 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void heartbeat(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Frame.newBuilder().setHeartbeat(listener.heartbeat()).build(), ctx.voidPromise());
    }

    private void endLateHandshake(ChannelHandlerContext ctx) {
        if (link == null && ctx.channel().isActive()) {
            reject(ctx, LinkFault.HANDSHAKE_TIMEOUT);
        }
    }

    private void reject(ChannelHandlerContext ctx, LinkFault fault) {
        listener.rejected(String.valueOf(ctx.channel().remoteAddress()), fault);
        ctx.close();
    }
}
