package org.citrontide.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.citrontide.core.gateway.StartupQueue;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.runtime.log.EventLog;

/**
 * Keeps the requests that wait for the first configuration, as {@link StartupQueue} decides.
 *
 * <p>Invariant: a kept request has neither been checked nor sent anywhere. Not thread-safe: owned by the event loop.
 */
final class StartupRequests {
    private static final EventLog LOG = EventLog.of(StartupRequests.class);

    /** A request that waited, and the monotonic time in ns at which it arrived. */
    record Held(CallerRequest caller, long arrivedNanos) {}

    private final StartupQueue queue;
    private final StartupMetrics metrics;
    private final Map<Long, Held> heldById = new HashMap<>();
    private final Map<CallerRequest, Long> idByCaller = new HashMap<>();
    private long nextId = 1;
    private int maxRequests;

    StartupRequests(RandomGenerator random, StartupMetrics metrics, long startNanos) {
        this.queue = new StartupQueue(startNanos, random);
        this.metrics = metrics;
    }

    /** Sets the maximum number of requests that wait, beside the bounds of the queue; none do before. */
    void setMaxRequests(int count) {
        maxRequests = count;
    }

    /** Keeps a request if the bounds permit it; returns whether they do. */
    boolean tryHold(CallerRequest caller, long nowNanos) {
        long id = nextId++;
        if (heldById.size() >= maxRequests
                || !queue.tryAdd(id, caller.memoryBytes(), GatewayRequestFactory.callerTimeout(caller), nowNanos)) {
            metrics.recordEnd("refused");
            return false;
        }
        heldById.put(id, new Held(caller, nowNanos));
        idByCaller.put(caller, id);
        return true;
    }

    /** Drops a request whose caller disconnected, if it waits. */
    void remove(CallerRequest caller) {
        Optional.ofNullable(idByCaller.get(caller)).ifPresent(id -> {
            queue.remove(id);
            take(id, "caller-gone");
        });
    }

    /** Removes and returns the requests that have waited for their maximum time. */
    List<Held> pollOverdue(long nowNanos) {
        return takeAll(queue.pollOverdue(nowNanos), "overdue");
    }

    /** Removes and returns all requests because the process stops. */
    List<Held> pollForStop() {
        return takeAll(queue.pollAll(), "stopping");
    }

    /** Removes and returns all requests because a configuration is in force. */
    List<Held> release(long nowNanos) {
        List<Held> released = takeAll(queue.pollAll(), "released");
        if (!released.isEmpty()) {
            LOG.info("startup-requests-released")
                    .with("count", released.size())
                    .with(
                            "longest-wait-ms",
                            Duration.ofNanos(nowNanos - released.getFirst().arrivedNanos())
                                    .toMillis())
                    .write();
        }
        return released;
    }

    int size() {
        return heldById.size();
    }

    /** Returns the delay after which the caller of a request that arrived at the given time should retry. */
    Duration retryAfter(CallerRequest caller, long arrivedNanos, long nowNanos) {
        Duration remaining = GatewayRequestFactory.callerTimeout(caller).minusNanos(nowNanos - arrivedNanos);
        return queue.retryAfter(remaining, nowNanos);
    }

    private List<Held> takeAll(List<Long> ids, String outcome) {
        List<Held> taken = new ArrayList<>();
        ids.forEach(id -> taken.add(take(id, outcome)));
        return taken;
    }

    private Held take(long id, String outcome) {
        Held held = heldById.remove(id);
        idByCaller.remove(held.caller());
        metrics.recordEnd(outcome);
        return held;
    }
}
