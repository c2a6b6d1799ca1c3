package org.citrontide.gateway.admin;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;

/**
 * Minimal HTTP server for pages on a separate address, run by the gateway's event loop.
 *
 * <p>Invariant: a request that can't be read gets no page, and ends its connection. Not thread-safe: confined to the
 * event loop once it listens.
 */
public final class PageServer {
    // The largest body is that of a peer's evidence, a few kilobytes.
    private static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final int IDLE_SECONDS = 60;

    private final EventLoopGroup loop;
    private final PageProvider provider;

    /** Provides the pages of a server. Called on the event loop. */
    public interface PageProvider {

        /**
         * Returns the page at a path.
         *
         * @param path path of the request, without the query
         * @return the page, with status 404 if the path is unknown
         * @throws IOException if the content of the page can't be created
         */
        Page page(String path) throws IOException;

        /**
         * Takes a document that a client sends.
         *
         * @param path path of the request, without the query
         * @param body the document
         * @return the response, with status 404 if the path takes no documents
         */
        default Page submit(String path, byte[] body) {
            return Page.notFound();
        }
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop event loop of all connections
     * @param provider provides the pages
     */
    public PageServer(EventLoopGroup loop, PageProvider provider) {
        this.loop = loop;
        this.provider = provider;
    }

    /**
     * Starts to accept connections.
     *
     * @param address IP address and port to listen on
     * @throws IOException if the server can't listen on the address
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
                                        new RequestHandler());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("HTTP server can't listen on " + address, bound.cause());
        }
    }

    /** Handles the requests of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) throws IOException {
            boolean isMalformed = r.decoderResult().isFailure();
            Page page = isMalformed ? Page.badRequest("malformed request\n") : page(r);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(page.status()),
                    Unpooled.wrappedBuffer(page.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
            HttpUtil.setContentLength(response, page.body().length);
            boolean isKeepAlive = HttpUtil.isKeepAlive(r) && !isMalformed;
            HttpUtil.setKeepAlive(response, isKeepAlive);
            ChannelFuture written = ctx.writeAndFlush(response);
            if (!isKeepAlive) {
                written.addListener(f -> ctx.close());
            }
        }

        private Page page(FullHttpRequest r) throws IOException {
            int query = r.uri().indexOf('?');
            String path = query < 0 ? r.uri() : r.uri().substring(0, query);
            return r.method().equals(HttpMethod.POST)
                    ? provider.submit(path, ByteBufUtil.getBytes(r.content()))
                    : provider.page(path);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            OutOfMemoryExit.check(cause);
            ctx.close();
        }
    }
}
