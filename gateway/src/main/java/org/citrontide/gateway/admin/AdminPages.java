package org.citrontide.gateway.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.platform.PlatformPaths;

/**
 * Serves readiness, {@code /livez} and {@code /metrics} on an address of their own, on the gateway's event loop.
 *
 * <p>Not thread-safe: owned by the event loop once it listens.
 */
public final class AdminPages {
    private static final int MAX_REQUEST_BYTES = 4096;
    private static final int IDLE_SECONDS = 60;

    private final EventLoopGroup loop;
    private final PrometheusRegistry registry;
    private final BooleanSupplier ready;

    /**
     * Makes the pages.
     *
     * @param loop event loop of all connections
     * @param registry the metrics to show
     * @param ready whether this process takes new connections
     */
    public AdminPages(EventLoopGroup loop, PrometheusRegistry registry, BooleanSupplier ready) {
        this.loop = loop;
        this.registry = registry;
        this.ready = ready;
    }

    /**
     * Begins to accept connections.
     *
     * @param address IP number and port
     * @throws IOException if the address can't be used
     */
    public void listen(InetSocketAddress address) throws IOException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new IdleStateHandler(IDLE_SECONDS, 0, 0),
                                        new Pages());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't serve readiness and metrics on " + address, bound.cause());
        }
    }

    /** Answers the requests of one connection. */
    private final class Pages extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) throws IOException {
            switch (r.uri()) {
                case PlatformPaths.READINESS, "/readyz" -> readiness(ctx, r);
                case "/livez" -> text(ctx, r, HttpResponseStatus.OK, "live\n");
                case "/metrics" -> {
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    PrometheusTextFormatWriter.create().write(out, registry.scrape());
                    text(ctx, r, HttpResponseStatus.OK, out.toString(StandardCharsets.UTF_8));
                }
                default -> text(ctx, r, HttpResponseStatus.NOT_FOUND, "unknown page\n");
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void readiness(ChannelHandlerContext ctx, FullHttpRequest r) {
            boolean isReady = ready.getAsBoolean();
            text(
                    ctx,
                    r,
                    isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    isReady ? "ready\n" : "not ready\n");
        }

        private void text(ChannelHandlerContext ctx, FullHttpRequest r, HttpResponseStatus status, String body) {
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            HttpUtil.setContentLength(answer, answer.content().readableBytes());
            boolean stays = HttpUtil.isKeepAlive(r);
            HttpUtil.setKeepAlive(answer, stays);
            ChannelFuture written = ctx.writeAndFlush(answer);
            if (!stays) {
                written.addListener(f -> ctx.close());
            }
        }
    }
}
