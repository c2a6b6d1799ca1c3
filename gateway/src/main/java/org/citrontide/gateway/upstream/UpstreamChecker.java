package org.citrontide.gateway.upstream;

import java.net.ConnectException;
import java.time.Duration;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.citrontide.core.routes.ListedUpstream;

/** Checks whether the process of an upstream still listens on its address. Not thread-safe: owned by the event loop. */
public final class UpstreamChecker {
    // Allows for several round trips between zones.
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final EventLoopGroup loop;

    /**
     * Creates a checker.
     *
     * @param loop event loop of the connections
     */
    public UpstreamChecker(EventLoopGroup loop) {
        this.loop = loop;
    }

    /**
     * Opens a connection to an upstream and closes it.
     *
     * @param upstream the upstream
     * @param callback receives whether the connection was refused; false if it was accepted or got no response
     */
    public void check(ListedUpstream upstream, Consumer<Boolean> callback) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(upstream.host(), upstream.port())
                .addListener((ChannelFuture f) -> {
                    f.channel().close();
                    callback.accept(isRefused(f.cause()));
                });
    }

    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
