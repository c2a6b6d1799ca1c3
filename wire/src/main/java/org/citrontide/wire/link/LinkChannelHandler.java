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
 * Authenticates a connection, then forwards its frames to the listener and sends heartbeats.
 *
 * <p>Invariant: no frame reaches the listener before this side has verified that the peer holds the shared key.
 * Confined to the connection's event loop.
 */
final class LinkChannelHandler extends SimpleChannelInboundHandler<Frame> {
    private static final long HANDSHAKE_TIMEOUT_SECONDS = 5;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 1000;

    private final boolean isAcceptor;
    private final LinkAuthenticator authenticator;
    private final ProcessIdentity localIdentity;
    private final LinkListener listener;
    private final ByteString nonce = LinkAuthenticator.newNonce();
    private ByteString peerNonce = ByteString.EMPTY;
    private Link link;
    private ScheduledFuture<?> heartbeatTask;

    LinkChannelHandler(
            boolean isAcceptor, LinkAuthenticator authenticator, ProcessIdentity localIdentity, LinkListener listener) {
        this.isAcceptor = isAcceptor;
        this.authenticator = authenticator;
        this.localIdentity = localIdentity;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (isAcceptor) {
            ctx.writeAndFlush(Frame.newBuilder()
                    .setChallenge(Challenge.newBuilder().setNonce(nonce))
                    .build());
        }
        ctx.executor().schedule(() -> checkHandshakeTimeout(ctx), HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (link == null) {
            handleHandshakeFrame(ctx, frame);
            return;
        }
        listener.frameReceived(link, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (link != null) {
            heartbeatTask.cancel(false);
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

    private void handleHandshakeFrame(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getBodyCase()) {
            case CHALLENGE -> handleChallenge(ctx, frame.getChallenge());
            case HELLO -> handleHello(ctx, frame.getHello());
            case WELCOME -> handleWelcome(ctx, frame.getWelcome());
            default -> reject(ctx, LinkFault.UNEXPECTED_FRAME);
        }
    }

    private void handleChallenge(ChannelHandlerContext ctx, Challenge challenge) {
        if (isAcceptor || !peerNonce.isEmpty() || challenge.getNonce().isEmpty()) {
            reject(ctx, LinkFault.UNEXPECTED_FRAME);
            return;
        }
        peerNonce = challenge.getNonce();
        Hello hello = Hello.newBuilder()
                .setNonce(nonce)
                .setIdentity(localIdentity)
                .setProof(authenticator.computeProof(LinkAuthenticator.HELLO, peerNonce, nonce, localIdentity))
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    }

    private void handleHello(ChannelHandlerContext ctx, Hello hello) {
        if (!isAcceptor) {
            reject(ctx, LinkFault.UNEXPECTED_FRAME);
            return;
        }
        ByteString expected =
                authenticator.computeProof(LinkAuthenticator.HELLO, nonce, hello.getNonce(), hello.getIdentity());
        if (!LinkAuthenticator.isEqual(expected, hello.getProof())) {
            reject(ctx, LinkFault.WRONG_KEY);
            return;
        }
        Welcome welcome = Welcome.newBuilder()
                .setIdentity(localIdentity)
                .setProof(authenticator.computeProof(LinkAuthenticator.WELCOME, nonce, hello.getNonce(), localIdentity))
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setWelcome(welcome).build());
        establishLink(ctx, hello.getIdentity());
    }

    private void handleWelcome(ChannelHandlerContext ctx, Welcome welcome) {
        if (isAcceptor || peerNonce.isEmpty()) {
            reject(ctx, LinkFault.UNEXPECTED_FRAME);
            return;
        }
        ByteString expected =
                authenticator.computeProof(LinkAuthenticator.WELCOME, peerNonce, nonce, welcome.getIdentity());
        if (!LinkAuthenticator.isEqual(expected, welcome.getProof())) {
            reject(ctx, LinkFault.WRONG_KEY);
            return;
        }
        establishLink(ctx, welcome.getIdentity());
    }

    private void establishLink(ChannelHandlerContext ctx, ProcessIdentity peer) {
        link = new Link(ctx.channel(), peer, !isAcceptor);
        listener.linkUp(link);
        heartbeatTask = ctx.executor()
                .scheduleAtFixedRate(() -> sendHeartbeat(ctx), 0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeat(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(
                Frame.newBuilder().setHeartbeat(listener.buildHeartbeat()).build(), ctx.voidPromise());
    }

    private void checkHandshakeTimeout(ChannelHandlerContext ctx) {
        if (link == null && ctx.channel().isActive()) {
            reject(ctx, LinkFault.HANDSHAKE_TIMEOUT);
        }
    }

    private void reject(ChannelHandlerContext ctx, LinkFault fault) {
        listener.connectionRejected(String.valueOf(ctx.channel().remoteAddress()), fault);
        ctx.close();
    }
}
