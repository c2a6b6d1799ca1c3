package org.citrontide.core.lease;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Tracks how long a process may rely on a lease.
 *
 * <p>Invariant: the validity ends before the lease expires in the store. It is measured from before the request for the
 * lease was sent, and on both the wall clock and the monotonic clock, because the latter stops while the machine is
 * suspended. Not thread-safe; times are passed in.
 */
public final class LeaseValidity {
    // Covers clock drift and the delay between a validity check and the operation that it permits.
    private static final Duration MARGIN = Duration.ofMillis(300);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Duration validity;
    private long requestNanos;
    private long requestMillis;
    private OptionalLong validUntilNanos = OptionalLong.empty();
    private long validUntilMillis;

    /**
     * Creates an invalid lease, which has not been granted yet.
     *
     * @param ttl time for which the store keeps the lease after a grant or renewal
     */
    public LeaseValidity(Duration ttl) {
        this.validity = ttl.minus(MARGIN);
    }

    /**
     * Records that a request for a grant or renewal is about to be sent.
     *
     * @param nowNanos monotonic time in ns
     * @param nowMillis wall-clock time in ms
     */
    public void recordRequest(long nowNanos, long nowMillis) {
        requestNanos = nowNanos;
        requestMillis = nowMillis;
    }

    /** Records that the store granted or renewed the lease in response to the last request. */
    public void recordGrant() {
        validUntilNanos = OptionalLong.of(requestNanos + validity.toNanos());
        validUntilMillis = requestMillis + validity.toNanos() / NANOS_PER_MILLI;
    }

    /**
     * Returns whether the lease can be relied on.
     *
     * @param nowNanos monotonic time in ns
     * @param nowMillis wall-clock time in ms
     * @return false if the lease was never granted, or has ended by either clock
     */
    public boolean isValid(long nowNanos, long nowMillis) {
        return validUntilNanos.isPresent() && nowNanos < validUntilNanos.getAsLong() && nowMillis < validUntilMillis;
    }
}
