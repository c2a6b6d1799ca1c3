package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.citrontide.platform.PlatformCall;

/**
 * Sends calls to the platform's own interfaces, one at a time on a connection, on kept connections where there are any.
 *
 * <p>Invariants: each future completes, at the latest when its time is over; a connection on which a call had no answer
 * is not used again. Not thread-safe: owned by the event loop.
 */
public final class HttpCaller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
    // Longest answer: a page of the store holds about a megabyte before encoding.
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private final EventLoop loop;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();
    private long calls;

    /**
     * Makes a caller without connections.
     *
     * @param loop event loop of all calls
     */
    public HttpCaller(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Sends a call.
     *
     * @param address where to
     * @param call the call
     * @param timeout longest time until the answer
     * @return the answer, or an {@link IOException}
     */
    public CompletableFuture<HttpReply> call(InetSocketAddress address, PlatformCall call, Duration timeout) {
        calls++;
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        Deque<Connection> kept = idle.getOrDefault(address, new ArrayDeque<>());
        while (!kept.isEmpty()) {
            Connection c = kept.removeFirst();
            if (c.channel.isActive()) {
                c.send(call, reply);
                expireAfter(timeout, reply, c);
                return reply;
            }
        }
        connect(address, call, timeout, reply);
        return reply;
    }

    /**
     * Returns the calls sent.
     *
     * @return count since the start
     */
    public long calls() {
        return calls;
    }

    private void connect(
            InetSocketAddress address, PlatformCall call, Duration timeout, CompletableFuture<HttpReply> reply) {
        Connection connection = new Connection(address);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES), connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        expireAfter(timeout, reply, connection);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                connection.channel = connecting.channel();
                connection.sendUnlessOver(call, reply);
            } else {
                reply.completeExceptionally(new IOException("can't connect to " + address, f.cause()));
            }
        });
    }

    private void expireAfter(Duration timeout, CompletableFuture<HttpReply> reply, Connection connection) {
        Future<?> timer = loop.schedule(() -> connection.expire(reply), timeout.toMillis(), TimeUnit.MILLISECONDS);
        reply.whenComplete((r, f) -> timer.cancel(false));
    }

    /** One connection, which carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address;
        private Channel channel;
        private CompletableFuture<HttpReply> waiting;

        private Connection(InetSocketAddress address) {
            this.address = address;
        }

        private void send(PlatformCall call, CompletableFuture<HttpReply> reply) {
            waiting = reply;
            DefaultFullHttpRequest r = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.target(),
                    Unpooled.wrappedBuffer(call.body()));
            r.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (call.body().length > 0) {
                r.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            call.headers().forEach(r.headers()::set);
            HttpUtil.setContentLength(r, call.body().length);
            channel.writeAndFlush(r);
        }

        private void sendUnlessOver(PlatformCall call, CompletableFuture<HttpReply> reply) {
            if (reply.isDone()) {
                channel.close();
                return;
            }
            send(call, reply);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            CompletableFuture<HttpReply> reply = waiting;
            waiting = null;
            if (reply == null || r.decoderResult().isFailure()) {
                ctx.close();
                fail(reply, "unreadable answer");
                return;
            }
            if (HttpUtil.isKeepAlive(r)) {
                idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addFirst(this);
            } else {
                ctx.close();
            }
            reply.complete(new HttpReply(r.status().code(), ByteBufUtil.getBytes(r.content())));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.getOrDefault(address, new ArrayDeque<>()).remove(this);
            fail(waiting, "connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void expire(CompletableFuture<HttpReply> reply) {
            if (reply.isDone()) {
                return;
            }
            waiting = null;
            if (channel != null) {
                channel.close();
            }
            fail(reply, "no answer in time");
        }

        private void fail(CompletableFuture<HttpReply> reply, String why) {
            waiting = null;
            if (reply != null) {
                reply.completeExceptionally(new IOException(why + ": " + address));
            }
        }
    }
}
