package org.citrontide.core.costing;

/**
 * How the load of an upstream is estimated when a request is placed. Immutable.
 *
 * @param rule the estimate
 * @param isLatencyRelative whether the latency of an upstream is measured relative to the expected cost of the requests
 *     that it answered, so that it doesn't depend on how large they were
 */
public record PlacementSettings(Rule rule, boolean isLatencyRelative) {
    /** Settings of a deployment that doesn't ask for another rule. */
    public static final PlacementSettings COUNTED = new PlacementSettings(Rule.COUNTED_REQUESTS, false);

    /** An estimate of the load of an upstream. */
    public enum Rule {
        /** All requests count alike. */
        COUNTED_REQUESTS,
        /** A request counts as much as the work that it is expected to cause. */
        EXPECTED_COST
    }
}
