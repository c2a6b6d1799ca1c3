package org.citrontide.entry.filter;

import java.util.List;
import java.util.Optional;

/**
 * The filters in their order: those that need only the headers, and those that need the body. Immutable and safe for
 * use by many threads.
 */
public final class FilterChain {
    private static final List<RequestFilter> BEFORE_BODY = List.of(new AuthenticationFilter(), new IdempotencyFilter());
    private static final List<RequestFilter> AFTER_BODY =
            List.of(new ServiceFilter(), new CallFilter(), new DeadlineFilter(), new CostFilter());

    private FilterChain() {}

    /**
     * Applies the filters that need only the headers.
     *
     * @param c the request
     * @return the first refusal, or empty
     */
    public static Optional<Refusal> beforeBody(RequestContext c) {
        return apply(BEFORE_BODY, c);
    }

    /**
     * Applies the filters that need the body.
     *
     * @param c the request with its body
     * @return the first refusal, or empty
     */
    public static Optional<Refusal> afterBody(RequestContext c) {
        return apply(AFTER_BODY, c);
    }

    private static Optional<Refusal> apply(List<RequestFilter> filters, RequestContext c) {
        for (RequestFilter f : filters) {
            Optional<Refusal> refusal = f.apply(c);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }
}
