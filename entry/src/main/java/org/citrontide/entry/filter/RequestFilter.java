package org.citrontide.entry.filter;

import java.util.Optional;

/** One step of the chain that every request passes. Implementations are stateless and safe for use by many threads. */
public sealed interface RequestFilter
        permits AuthenticationFilter, CallFilter, CostFilter, DeadlineFilter, IdempotencyFilter, ServiceFilter {

    /**
     * Looks at a request and adds what it learns.
     *
     * @param c the request
     * @return the refusal, or empty to go on
     */
    Optional<Refusal> apply(RequestContext c);
}
