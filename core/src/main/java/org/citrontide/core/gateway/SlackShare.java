package org.citrontide.core.gateway;

/**
 * One gateway's part of the repeats that all gateways together may send beyond the ratio.
 *
 * <p>Invariant: the parts of all gateways add up to no more than the whole, as long as each of them counts the others.
 * Not thread-safe.
 */
public final class SlackShare {
    // A count that is too low for a moment, as after a start, must not let many gateways overdraw the slack.
    private static final int LEAST_SHARERS = 12;

    private final double slack;
    private int sharers = LEAST_SHARERS;

    /**
     * Makes a share of an unknown number of gateways.
     *
     * @param slack repeats of all gateways in a window
     */
    public SlackShare(double slack) {
        this.slack = slack;
    }

    /**
     * Takes the number of gateways.
     *
     * @param count gateways that are believed to run, this one included
     */
    public void gateways(int count) {
        sharers = Math.max(LEAST_SHARERS, count);
    }

    /**
     * Returns this gateway's part.
     *
     * @return repeats in a window
     */
    public double part() {
        return slack / sharers;
    }
}
