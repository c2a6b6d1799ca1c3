package org.citrontide.core.gateway;

import java.time.Duration;

/**
 * The rate of requests that one upstream takes from all gateways together, as it names it in its responses.
 *
 * <p>Handles an upstream in need that would get more than it can take, from many gateways of which each sends little.
 * Invariant: this gateway sends at most one request in each of its own slots, and none in those of the others. Not
 * thread-safe.
 */
final class UpstreamRateLimit {
    // An upstream that takes nothing is still asked now and then, since only its responses can lift the limit.
    private static final double MIN_PER_SECOND = 0.1;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final int offset;
    private final long namedNanos;
    private final double perSecond;
    private final long slotNanos;
    private long usedUntilSlot = Long.MIN_VALUE;

    /**
     * Creates a limit.
     *
     * @param upstream identity of the upstream
     * @param perSecond requests per second
     * @param namedNanos monotonic time in ns at which the upstream named the limit
     */
    UpstreamRateLimit(String upstream, double perSecond, long namedNanos) {
        this.offset = upstream.hashCode();
        this.perSecond = perSecond;
        this.namedNanos = namedNanos;
        this.slotNanos = Math.max(1, (long) (NANOS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond)));
    }

    double perSecond() {
        return perSecond;
    }

    /** Returns this limit as named once more, with the slots used so far if it is the same. */
    UpstreamRateLimit renew(String upstream, double newPerSecond, long nowNanos) {
        UpstreamRateLimit renewed = new UpstreamRateLimit(upstream, newPerSecond, nowNanos);
        if (renewed.slotNanos == slotNanos) {
            renewed.usedUntilSlot = usedUntilSlot;
        }
        return renewed;
    }

    /** Returns whether a response to an attempt, which names no limit, is newer than the limit. */
    boolean isLiftedBy(long sentNanos) {
        return sentNanos - namedNanos > 0;
    }

    /** Returns the time from which the next request may be sent, now or later. */
    long nextOpenNanos(SendSlots slots, long nowNanos) {
        long current = slots.slotAt(slotNanos, nowNanos);
        long next = slots.nextOwn(Math.max(current, usedUntilSlot), offset);
        return next <= current ? nowNanos : slots.startNanos(next, slotNanos);
    }

    void recordSent(SendSlots slots, long nowNanos) {
        usedUntilSlot = slots.slotAt(slotNanos, nowNanos) + 1;
    }
}
