package org.citrontide.core.gateway;

import java.time.Duration;

/**
 * Detects that the gaps between the parts of a service's responses are too long, in which case its upstreams are
 * queried for their speed.
 *
 * <p>One slow member of a group slows down every pass of the group. The responses of all members are then equally slow,
 * and only the members themselves can tell which one is the cause. Not thread-safe.
 */
final class SlownessDetector {
    // Weight of one gap in the moving average, which covers about the last two passes of ten streams.
    private static final double SAMPLE_WEIGHT = 0.05;
    // Fraction of the target gap from which passes are considered slow.
    private static final double SLOW_FRACTION = 0.8;
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);
    // Limits the queries of one gateway to 40 per second.
    private static final Duration INTERVAL_PER_UPSTREAM = Duration.ofMillis(25);

    private double meanGapNanos;
    private boolean hasQueried;
    private long queriedNanos;

    /** Records the time between two parts of one response. */
    void recordGap(long nanos) {
        meanGapNanos += SAMPLE_WEIGHT * (nanos - meanGapNanos);
    }

    /**
     * Returns whether all upstreams should be queried now, and if so, records the query.
     *
     * @param targetGap longest gap in a response that is on time
     * @param upstreamCount number of upstreams of the service
     * @param hasSlowUpstream whether an upstream is known to be slow; queries then continue, to detect its recovery
     */
    boolean tryStartQuery(Duration targetGap, int upstreamCount, boolean hasSlowUpstream, long nowNanos) {
        if (!hasSlowUpstream && meanGapNanos < SLOW_FRACTION * targetGap.toNanos()) {
            return false;
        }
        long interval = Math.max(MIN_INTERVAL.toNanos(), upstreamCount * INTERVAL_PER_UPSTREAM.toNanos());
        if (hasQueried && nowNanos - queriedNanos < interval) {
            return false;
        }
        hasQueried = true;
        queriedNanos = nowNanos;
        return true;
    }
}
