package org.citrontide.gateway.filter;

import java.util.List;
import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/** Checks a caller's request before it is dispatched. Implementations are stateless. */
public interface GatewayFilter {
    /** All filters in the order in which they run. */
    List<GatewayFilter> CHAIN =
            List.of(new ConfigurationFilter(), new HostFilter(), new RouteFilter(), new ApiKeyFilter());

    /**
     * Checks a request.
     *
     * @param head the request
     * @return the reason for a refusal, or empty if the request passes
     */
    Optional<Reason> check(RequestHead head);

    /**
     * Runs all filters, up to the first that refuses the request.
     *
     * @param head the request
     * @return the reason for a refusal, or empty if the request passes all filters
     */
    static Optional<Reason> checkAll(RequestHead head) {
        for (GatewayFilter filter : CHAIN) {
            Optional<Reason> refusal = filter.check(head);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }
}
