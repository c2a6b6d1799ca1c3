package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a caller has waited since its first request, from the remaining time to its deadline: first
 * requests on a route have about the same timeout, and a retry after a refusal has less time remaining.
 *
 * <p>Not thread-safe.
 */
public final class CallerWaitEstimator {
    // Fraction of the difference by which a request with less time lowers the estimated timeout, so that the effect of
    // an outlier decays.
    private static final double DECAY = 0.01;
    // The remaining times of first requests differ by less than this fraction.
    private static final double TOLERANCE = 0.1;

    private final Map<String, Double> timeoutNanos = new HashMap<>();

    /**
     * Records the remaining time of a request and estimates how long its caller has already waited.
     *
     * @param route name of the route
     * @param remaining remaining time at the arrival of the request
     * @return estimated waiting time, zero if this appears to be the first request of the caller
     */
    public Duration estimateWait(String route, Duration remaining) {
        double nanos = remaining.toNanos();
        double timeout = timeoutNanos.merge(
                route, nanos, (previous, sample) -> Math.max(sample, previous - DECAY * (previous - sample)));
        return nanos >= timeout * (1 - TOLERANCE) ? Duration.ZERO : Duration.ofNanos((long) (timeout - nanos));
    }
}
