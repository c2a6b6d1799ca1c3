package org.citrontide.core.expertmap;

import java.time.Duration;

/**
 * Thresholds and intervals of rebalancing the ranks of a group.
 *
 * <p>In a busy group, each part of the pass time matters. In a group whose passes end long before the target gap of its
 * callers, copies, orders and reads cost more than they save. Immutable.
 *
 * @param minSkew load of the most loaded rank relative to the mean below which no better map is searched for
 * @param minGain fraction of the expert time of a pass that a new map must save
 * @param minStepGain fraction by which each copy of an expert must reduce the load of the most loaded ranks, in a group
 *     of up to {@link #REFERENCE_RANKS}
 * @param sampleInterval time between two reads of the selection counts
 * @param speedInterval time between two reads of the speeds of all ranks
 */
record RebalanceParameters(
        double minSkew, double minGain, double minStepGain, Duration sampleInterval, Duration speedInterval) {
    /** Number of ranks above which the threshold for a copy falls, because each rank is a smaller part of the group. */
    static final int REFERENCE_RANKS = 16;

    // Passes shorter than this fraction of the target gap leave room for a burst of twice the load.
    private static final double LOW_LOAD_FRACTION = 0.45;

    /** Steady demand: a small gain lasts. */
    private static final RebalanceParameters STEADY =
            new RebalanceParameters(1.05, 0.03, 0.001, Duration.ofMillis(500), Duration.ofMillis(1500));

    /** Demand that shifts every few seconds, so that a gain lasts no longer than that. */
    private static final RebalanceParameters SHIFTING =
            new RebalanceParameters(1.2, 0.12, 0.01, Duration.ofMillis(250), Duration.ofMillis(1500));

    /** Passes longer than the target gap: a rank may have become slow, so speeds are read more often. */
    private static final RebalanceParameters OVERDUE =
            new RebalanceParameters(1.2, 0.12, 0.01, Duration.ofMillis(250), Duration.ofMillis(500));

    /** Group far below its limit: only a severe skew is corrected, in case a burst follows. */
    private static final RebalanceParameters LOW_LOAD =
            new RebalanceParameters(1.5, 0.2, 0.01, Duration.ofMillis(700), Duration.ofMillis(4500));

    /**
     * Selects the parameters for the current state of a group.
     *
     * @param passTime smoothed time of a pass
     * @param targetGap shortest gap between events that a caller requests, zero if none does
     * @param isSteady whether the demand has been stable for a long time
     * @return the parameters
     */
    static RebalanceParameters select(Duration passTime, Duration targetGap, boolean isSteady) {
        if (targetGap.isPositive() && passTime.compareTo(targetGap) > 0) {
            return OVERDUE;
        }
        if (isSteady) {
            return STEADY;
        }
        return passTime.toNanos() < LOW_LOAD_FRACTION * targetGap.toNanos() ? LOW_LOAD : SHIFTING;
    }

    /** Returns the fraction by which each copy must reduce the load of the most loaded ranks of a group. */
    double minStepGain(int ranks) {
        return minStepGain * Math.min(1, (double) REFERENCE_RANKS / ranks);
    }
}
