package org.citrontide.core.lease;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * The time for which a process may rely on a lease.
 *
 * <p>Invariant: it ends before the store lets the lease end. It counts from before the call was sent, and on the time
 * of day as well as on the monotonic clock, because the latter stands still while the machine is suspended. Not
 * thread-safe; clocks are passed in.
 */
public final class LeaseTerm {
    // Covers the drift of the clocks and the time between a check and the act that it allows.
    private static final Duration MARGIN = Duration.ofMillis(300);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Duration usable;
    private long askedNanos;
    private long askedMillis;
    private OptionalLong endNanos = OptionalLong.empty();
    private long endMillis;

    /**
     * Makes a term that has not begun.
     *
     * @param time how long the store keeps the lease after a grant or renewal
     */
    public LeaseTerm(Duration time) {
        this.usable = time.minus(MARGIN);
    }

    /**
     * Notes that a grant or renewal is about to be asked for.
     *
     * @param nowNanos monotonic time in ns
     * @param nowMillis time of day in ms
     */
    public void asked(long nowNanos, long nowMillis) {
        askedNanos = nowNanos;
        askedMillis = nowMillis;
    }

    /** Notes that the store granted or renewed the lease as last asked. */
    public void granted() {
        endNanos = OptionalLong.of(askedNanos + usable.toNanos());
        endMillis = askedMillis + usable.toNanos() / NANOS_PER_MILLI;
    }

    /**
     * Says whether the lease can be relied on.
     *
     * @param nowNanos monotonic time in ns
     * @param nowMillis time of day in ms
     * @return false from its end on by either clock
     */
    public boolean isValid(long nowNanos, long nowMillis) {
        return endNanos.isPresent() && nowNanos < endNanos.getAsLong() && nowMillis < endMillis;
    }
}
