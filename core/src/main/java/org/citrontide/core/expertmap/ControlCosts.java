package org.citrontide.core.expertmap;

/**
 * Prices of the control of expert maps, in time of one rank. Immutable.
 *
 * <p>All prices 0 disable the decision by cost.
 *
 * @param rankMicrosPerCount price of one number of the selection counts read, in us
 * @param rankMillisPerOrder price of one order to a rank, in ms
 * @param rankMillisPerGigabyte price of one GB of expert weights copied to a rank, in ms
 */
public record ControlCosts(double rankMicrosPerCount, double rankMillisPerOrder, double rankMillisPerGigabyte) {
    /** Control is not priced: counts are read and maps changed by thresholds only. */
    public static final ControlCosts NONE = new ControlCosts(0, 0, 0);

    /**
     * Prices measured on days of 40 s with 63 ranks in one group and with 8 ranks in two groups: 45 and 118 us of a
     * rank per number, 12 and 6 ms per order, 43 and 6 ms per GB; each is about the mean of both.
     */
    public static final ControlCosts MEASURED = new ControlCosts(80, 10, 25);

    /** Checks that no price is negative. */
    public ControlCosts {
        if (rankMicrosPerCount < 0 || rankMillisPerOrder < 0 || rankMillisPerGigabyte < 0) {
            throw new IllegalArgumentException("negative price");
        }
    }

    /**
     * Returns whether control has a price.
     *
     * @return true if a price is not 0
     */
    public boolean isPriced() {
        return rankMicrosPerCount > 0 || rankMillisPerOrder > 0 || rankMillisPerGigabyte > 0;
    }
}
