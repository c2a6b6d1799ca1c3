package org.citrontide.core.backoff;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.citrontide.core.routes.ListedUpstream;

/**
 * The times for which upstreams have asked this gateway to leave them alone.
 *
 * <p>Handles an overloaded upstream that turns requests away and names the time after which it can take some again.
 *
 * <p>Invariants: a later answer lengthens the time and never shortens it; the time belongs to one instance of an
 * upstream, and holds although its entry vanishes and comes back. Not thread-safe.
 */
public final class UpstreamBackoffs {
    // Times that are over are discarded beyond this number of instances.
    private static final int MAX_INSTANCES = 1024;

    private final Map<String, Long> endNanosByInstance = new HashMap<>();

    /**
     * Records the answer of an upstream.
     *
     * @param upstream the upstream
     * @param duration time for which it wants no requests
     * @param nowNanos monotonic time in ns at which the answer arrived
     * @return monotonic time in ns until which it is left alone, empty if the answer does not lengthen that
     */
    public OptionalLong record(ListedUpstream upstream, Duration duration, long nowNanos) {
        long endNanos = nowNanos + duration.toNanos();
        Optional<Long> known = Optional.ofNullable(endNanosByInstance.get(upstream.instanceKey()));
        if (endNanos - nowNanos <= 0 || known.filter(k -> k - endNanos >= 0).isPresent()) {
            return OptionalLong.empty();
        }
        if (endNanosByInstance.size() >= MAX_INSTANCES) {
            endNanosByInstance.values().removeIf(end -> end - nowNanos <= 0);
        }
        endNanosByInstance.put(upstream.instanceKey(), endNanos);
        return OptionalLong.of(endNanos);
    }

    /**
     * Returns whether no instance has asked to be left alone.
     *
     * @return true if nothing was recorded, or all of it was discarded
     */
    public boolean isEmpty() {
        return endNanosByInstance.isEmpty();
    }

    /**
     * Returns until when an instance of an upstream is left alone.
     *
     * @param upstream the upstream
     * @return monotonic time in ns, which may be over; empty if the instance never asked for it
     */
    public OptionalLong endNanos(ListedUpstream upstream) {
        if (endNanosByInstance.isEmpty()) {
            return OptionalLong.empty();
        }
        Long end = endNanosByInstance.get(upstream.instanceKey());
        return end == null ? OptionalLong.empty() : OptionalLong.of(end);
    }
}
