package org.citrontide.core.routes;

import java.time.Duration;

/**
 * The rate that a service's upstreams take while they are cold. Immutable.
 *
 * @param duration time after its start for which an upstream is cold
 * @param perSecond requests per second that a cold upstream takes from all gateways together
 */
public record ColdRule(Duration duration, double perSecond) {

    /**
     * Validates the rule.
     *
     * @throws IllegalArgumentException if the duration or the rate is not positive
     */
    public ColdRule {
        if (!duration.isPositive() || !(perSecond > 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("cold duration and rate must be positive");
        }
    }
}
