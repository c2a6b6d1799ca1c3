package org.citrontide.core.gate;

/**
 * Remembers how many slots live requests needed at once lately.
 *
 * <p>Invariant: the reserve is at least the highest demand seen, less a part that fades with time. Not thread-safe.
 */
final class LiveDemand {
    private static final double FADE_SECONDS = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    private double peak;
    private long updatedNanos;

    /** Learns that a live request arrived and that so many live ones now run or wait. */
    void arrived(int ahead, long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        peak = Math.max(ahead, peak * Math.exp(-seconds / FADE_SECONDS));
        updatedNanos = nowNanos;
    }

    /** Returns the slots to keep free of lower classes. */
    int reserve() {
        return (int) Math.ceil(peak);
    }
}
