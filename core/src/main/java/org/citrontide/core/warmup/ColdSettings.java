package org.citrontide.core.warmup;

/**
 * How far the requests that reach a cold upstream within any second may exceed its rate. Immutable.
 *
 * @param overage factor of the rate; below 1 it counts as 1
 * @param slack requests beyond that
 */
public record ColdSettings(double overage, double slack) {
    /** Settings of a deployment that allows no excess. */
    public static final ColdSettings STRICT = new ColdSettings(1, 0);
}
