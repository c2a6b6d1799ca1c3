package org.citrontide.entry.filter;

import java.util.Optional;

/** A step of the filter chain. Implementations are stateless and thread-safe. */
public sealed interface RequestFilter
        permits AuthenticationFilter, CallRuleFilter, CostFilter, DeadlineFilter, IdempotencyKeyFilter, ServiceFilter {

    /**
     * Checks a request and records the result in its context.
     *
     * @param context the request
     * @return the refusal, or empty if the request passes this filter
     */
    Optional<Refusal> apply(RequestContext context);
}
