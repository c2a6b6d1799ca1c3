package org.citrontide.gateway.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.citrontide.core.routes.CallerLimits;

/**
 * Accepts callers' connections and ends those that take too long.
 *
 * <p>Not thread-safe: owned by the event loop once it listens.
 */
public final class CallerServer {
    // Fine enough for limits of seconds.
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int BACKLOG = 1024;

    private final EventLoopGroup loop;
    private final CallerListener listener;
    private final Supplier<CallerLimits> limits;
    private final int maxConnections;
    private final Set<CallerConnection> open = new HashSet<>();

    /**
     * Makes a server.
     *
     * @param loop event loop of all connections
     * @param listener hears of the requests
     * @param limits limits in force
     * @param maxConnections most connections; more are closed at once
     */
    public CallerServer(
            EventLoopGroup loop, CallerListener listener, Supplier<CallerLimits> limits, int maxConnections) {
        this.loop = loop;
        this.listener = listener;
        this.limits = limits;
        this.maxConnections = maxConnections;
    }

    /**
     * Begins to accept connections.
     *
     * @param address IP number and port
     * @throws IOException if the address can't be used
     */
    public void listen(InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        StrictRequestDecoder decoder =
                                new StrictRequestDecoder(limits.get().headerBytes());
                        c.pipeline()
                                .addLast(
                                        decoder,
                                        new HttpResponseEncoder(),
                                        new CallerConnection(CallerServer.this, decoder));
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't serve callers on " + address, bound.cause());
        }
        loop.next()
                .scheduleAtFixedRate(
                        this::checkTimes, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the connections on which no request is under way. */
    public void closeIdle() {
        List.copyOf(open).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Returns the open connections.
     *
     * @return count
     */
    public int connections() {
        return open.size();
    }

    CallerListener listener() {
        return listener;
    }

    CallerLimits limits() {
        return limits.get();
    }

    void opened(CallerConnection c) {
        open.add(c);
        if (open.size() > maxConnections) {
            c.breakOff();
        }
    }

    void closed(CallerConnection c) {
        open.remove(c);
    }

    private void checkTimes() {
        long now = System.nanoTime();
        List.copyOf(open).forEach(c -> c.checkTime(limits.get(), now));
    }
}
