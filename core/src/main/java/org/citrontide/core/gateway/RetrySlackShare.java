package org.citrontide.core.gateway;

/**
 * One gateway's share of the retry slack: the retries that all gateways together may send beyond the ratio.
 *
 * <p>Invariant: the shares of all gateways add up to at most the slack, provided that each gateway counts all of them
 * or none. While the number of gateways is unknown, the share is empty.
 * Not thread-safe.
 */
public final class RetrySlackShare {
    // Lower bound on the divisor: while the count is too low, such as after a start, the gateways must not exceed the
    // slack together.
    private static final int MIN_GATEWAYS = 12;

    private final double slack;
    private int gateways;

    /**
     * Creates a share for an unknown number of gateways.
     *
     * @param slack retries that all gateways together may send per window
     */
    public RetrySlackShare(double slack) {
        this.slack = slack;
    }

    /**
     * Sets the number of gateways.
     *
     * @param count number of running gateways, including this one
     */
    public void setGatewayCount(int count) {
        gateways = Math.max(MIN_GATEWAYS, count);
    }

    /**
     * Returns the number of gateways that the slack is divided by.
     *
     * @return number of gateways, at least a lower bound, or 0 while it is unknown
     */
    public int gateways() {
        return gateways;
    }

    /**
     * Returns this gateway's share.
     *
     * @return number of retries per window
     */
    public double retriesPerWindow() {
        return gateways == 0 ? 0 : slack / gateways;
    }
}
