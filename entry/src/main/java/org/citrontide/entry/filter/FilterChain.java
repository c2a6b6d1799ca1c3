package org.citrontide.entry.filter;

import java.util.List;
import java.util.Optional;

/**
 * Applies the request filters in order: first those that need only the headers, then those that need the body.
 * Immutable and thread-safe.
 */
public final class FilterChain {
    private static final List<RequestFilter> HEADER_FILTERS =
            List.of(new AuthenticationFilter(), new IdempotencyKeyFilter());
    private static final List<RequestFilter> BODY_FILTERS =
            List.of(new ServiceFilter(), new CallRuleFilter(), new DeadlineFilter(), new CostFilter());

    private FilterChain() {}

    /**
     * Applies the filters that need only the headers.
     *
     * @param context the request, without its body
     * @return the first refusal, or empty
     */
    public static Optional<Refusal> applyHeaderFilters(RequestContext context) {
        return apply(HEADER_FILTERS, context);
    }

    /**
     * Applies the filters that need the body.
     *
     * @param context the request with its body
     * @return the first refusal, or empty
     */
    public static Optional<Refusal> applyBodyFilters(RequestContext context) {
        return apply(BODY_FILTERS, context);
    }

    private static Optional<Refusal> apply(List<RequestFilter> filters, RequestContext context) {
        for (RequestFilter filter : filters) {
            Optional<Refusal> refusal = filter.apply(context);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }
}
