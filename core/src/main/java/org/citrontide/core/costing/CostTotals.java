package org.citrontide.core.costing;

import java.time.Duration;

/** The expected and observed costs of the responses of one service since the last report. Not thread-safe. */
public final class CostTotals {
    // One line in this time tells the trend without filling the log.
    private static final long REPORT_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private long responses;
    private double expected;
    private double observed;
    private boolean isStarted;
    private long lastReportNanos;

    void add(double expectedCost, double observedCost) {
        responses++;
        expected += expectedCost;
        observed += observedCost;
    }

    /**
     * Returns whether the next placement is reported.
     *
     * @param nowNanos monotonic time in ns
     * @return true if no report was made recently
     */
    public boolean isReportDue(long nowNanos) {
        return !isStarted || nowNanos - lastReportNanos >= REPORT_INTERVAL_NANOS;
    }

    /**
     * Records a report, after which the totals start again.
     *
     * @param nowNanos monotonic time in ns
     */
    public void recordReport(long nowNanos) {
        isStarted = true;
        lastReportNanos = nowNanos;
        responses = 0;
        expected = 0;
        observed = 0;
    }

    /**
     * Returns the number of responses.
     *
     * @return responses since the last report
     */
    public long responses() {
        return responses;
    }

    /**
     * Returns the sum of their expected costs.
     *
     * @return ms for a plain service, passes for an engine
     */
    public double expected() {
        return expected;
    }

    /**
     * Returns the sum of their observed costs.
     *
     * @return ms for a plain service, passes for an engine
     */
    public double observed() {
        return observed;
    }
}
