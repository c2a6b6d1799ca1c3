package org.citrontide.core.gate;

/**
 * Tracks the recent peak of slots that live requests needed concurrently.
 *
 * <p>Invariant: the reserve is at least the highest demand recorded, reduced by exponential decay over time. Not
 * thread-safe.
 */
final class LiveDemand {
    private static final double DECAY_SECONDS = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    private double peak;
    private long updatedNanos;

    /** Records the arrival of a live request. {@code demand} is the number of live requests now running or waiting. */
    void recordArrival(int demand, long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        peak = Math.max(demand, peak * Math.exp(-seconds / DECAY_SECONDS));
        updatedNanos = nowNanos;
    }

    /** Returns the number of slots to keep free of lower classes. */
    int reservedSlots() {
        return (int) Math.ceil(peak);
    }
}
