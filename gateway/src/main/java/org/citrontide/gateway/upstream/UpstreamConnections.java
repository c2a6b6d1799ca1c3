package org.citrontide.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.routes.ListedUpstream;

/**
 * Connections to upstreams: opened when needed, kept as long as the upstream announced, the last used first.
 *
 * <p>Invariant: a connection serves the upstream that it was opened for and no other, whatever address the list names
 * later. Not thread-safe: owned by the event loop.
 */
public final class UpstreamConnections {
    // Several round trips between zones; a longer wait only delays the next choice.
    private static final int CONNECT_TIMEOUT_MS = 400;

    private final EventLoopGroup loop;
    private final AttemptListener listener;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();
    private long opened;

    /**
     * Makes an empty pool.
     *
     * @param loop event loop of all connections
     * @param listener hears of the attempts
     */
    public UpstreamConnections(EventLoopGroup loop, AttemptListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /**
     * Sends an attempt on a kept connection, or on a new one.
     *
     * @param attempt the attempt
     */
    public void send(UpstreamAttempt attempt) {
        Optional<UpstreamConnection> kept = takeIdle(attempt);
        if (kept.isPresent()) {
            kept.get().send(attempt);
            return;
        }
        connect(attempt);
    }

    /**
     * Breaks off an attempt and closes its connection, which tells the upstream that nobody waits.
     *
     * @param attempt the attempt
     */
    public void cancel(UpstreamAttempt attempt) {
        attempt.setOver();
        attempt.connection().ifPresent(UpstreamConnection::close);
    }

    /**
     * Returns the connections opened.
     *
     * @return count since the start
     */
    public long opened() {
        return opened;
    }

    AttemptListener listener() {
        return listener;
    }

    void idle(UpstreamConnection c) {
        idle.computeIfAbsent(c.upstream(), u -> new ArrayDeque<>()).addFirst(c);
    }

    void closed(UpstreamConnection c) {
        Deque<UpstreamConnection> list = idle.get(c.upstream());
        if (list != null && list.remove(c) && list.isEmpty()) {
            idle.remove(c.upstream());
        }
    }

    private Optional<UpstreamConnection> takeIdle(UpstreamAttempt attempt) {
        Deque<UpstreamConnection> list = idle.get(key(attempt.upstream()));
        if (list == null) {
            return Optional.empty();
        }
        long now = System.nanoTime();
        for (Iterator<UpstreamConnection> i = list.iterator(); i.hasNext(); ) {
            UpstreamConnection c = i.next();
            if (c.isUsable(attempt.runsOnce(), now)) {
                i.remove();
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }

    private void connect(UpstreamAttempt attempt) {
        opened++;
        AnswerDecoder decoder = new AnswerDecoder();
        UpstreamConnection connection = new UpstreamConnection(this, decoder, key(attempt.upstream()));
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                });
        ChannelFuture connecting =
                bootstrap.connect(attempt.upstream().host(), attempt.upstream().port());
        connection.open(connecting.channel());
        attempt.setConnection(connection);
        connecting.addListener(f -> connected(attempt, connection, f.isSuccess()));
    }

    private void connected(UpstreamAttempt attempt, UpstreamConnection connection, boolean isOpen) {
        if (attempt.isOver()) {
            connection.close();
            return;
        }
        if (isOpen) {
            connection.send(attempt);
            return;
        }
        attempt.setOver();
        listener.ended(attempt, new AttemptOutcome.Unreached());
    }

    private static String key(ListedUpstream u) {
        return u.id() + '@' + u.host() + ':' + u.port() + '#' + u.startedMillis();
    }
}
