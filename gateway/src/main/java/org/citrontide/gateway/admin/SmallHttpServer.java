package org.citrontide.gateway.admin;

import java.io.IOException;
import java.net.InetSocketAddress;

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

/**
 * Serves small pages on an address of its own, on the gateway's event loop.
 *
 * <p>Not thread-safe: owned by the event loop once it listens.
 */
public final class SmallHttpServer {
    private static final int MAX_REQUEST_BYTES = 4096;
    private static final int IDLE_SECONDS = 60;

    private final EventLoopGroup loop;
    private final Pages pages;

    /** What a server serves. Called on the event loop. */
    public interface Pages {

        /**
         * Finds a page.
         *
         * @param path path of the request, without its query
         * @return the page, also if there is none
         * @throws IOException if the page can't be written
         */
        Page page(String path) throws IOException;
    }

    /**
     * Makes a server.
     *
     * @param loop event loop of all connections
     * @param pages what it serves
     */
    public SmallHttpServer(EventLoopGroup loop, Pages pages) {
        this.loop = loop;
        this.pages = pages;
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
                                        new Answers());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't serve pages on " + address, bound.cause());
        }
    }

    /** Answers the requests of one connection. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) throws IOException {
            int query = r.uri().indexOf('?');
            Page page = pages.page(query < 0 ? r.uri() : r.uri().substring(0, query));
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(page.status()),
                    Unpooled.wrappedBuffer(page.body()));
            answer.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
            HttpUtil.setContentLength(answer, page.body().length);
            boolean stays = HttpUtil.isKeepAlive(r);
            HttpUtil.setKeepAlive(answer, stays);
            ChannelFuture written = ctx.writeAndFlush(answer);
            if (!stays) {
                written.addListener(f -> ctx.close());
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
    }
}
