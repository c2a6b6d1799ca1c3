package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.citrontide.runtime.eventloop.GuardedTask;

/**
 * The idle connections of a client, the most recently used one of each address first.
 *
 * <p>Invariant: a connection that stays idle is closed within twice the limit, because its server may have dropped it
 * without notice. Not thread-safe: confined to the event loop.
 *
 * @param <C> type of the connections
 */
final class IdleConnections<C extends IdleConnections.Connection> {
    private final EventLoop loop;
    private final Duration limit;
    private final Map<InetSocketAddress, Deque<C>> byAddress = new HashMap<>();
    private boolean isCheckScheduled;

    /** What is needed to know of a connection. */
    interface Connection {

        /** Returns the address of the server. */
        InetSocketAddress address();

        /** Returns the monotonic time in ns of the last response. */
        long respondedNanos();

        /** Closes the connection. */
        void close();
    }

    IdleConnections(EventLoop loop, Duration limit) {
        this.loop = loop;
        this.limit = limit;
    }

    void add(C connection) {
        byAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>()).addFirst(connection);
        scheduleCheck();
    }

    /** Removes and returns the most recently used connection to an address. */
    Optional<C> poll(InetSocketAddress address) {
        return Optional.ofNullable(of(address).pollFirst());
    }

    void remove(C connection) {
        of(connection.address()).remove(connection);
    }

    /** Closes the connections to an address on which nothing was received since the given time; returns how many. */
    int closeSilent(InetSocketAddress address, long sinceNanos) {
        List<C> silent = of(address).stream()
                .filter(c -> c.respondedNanos() - sinceNanos < 0)
                .toList();
        close(silent);
        return silent.size();
    }

    private Deque<C> of(InetSocketAddress address) {
        return byAddress.getOrDefault(address, new ArrayDeque<>());
    }

    private void scheduleCheck() {
        if (!isCheckScheduled) {
            isCheckScheduled = true;
            GuardedTask check = new GuardedTask("platform-connection-expiry", this::closeExpired);
            loop.schedule(check, limit.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void closeExpired() {
        isCheckScheduled = false;
        long limitNanos = System.nanoTime() - limit.toNanos();
        close(byAddress.values().stream()
                .flatMap(Deque::stream)
                .filter(c -> c.respondedNanos() - limitNanos <= 0)
                .toList());
        byAddress.values().removeIf(Deque::isEmpty);
        if (!byAddress.isEmpty()) {
            scheduleCheck();
        }
    }

    private void close(List<C> connections) {
        for (C c : connections) {
            remove(c);
            c.close();
        }
    }
}
