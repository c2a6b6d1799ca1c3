package org.citrontide.gateway.filter;

import java.util.List;
import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/** One check of a caller's request before it is dispatched. Implementations are stateless. */
public interface GatewayFilter {
    /** All filters in the order in which they run. */
    List<GatewayFilter> CHAIN =
            List.of(new ConfigurationFilter(), new HostFilter(), new RouteFilter(), new KeyFilter());

    /**
     * Checks a request.
     *
     * @param head the request
     * @return why it is refused, or empty to go on
     */
    Optional<Reason> check(RequestHead head);

    /**
     * Runs the whole chain.
     *
     * @param head the request
     * @return why it is refused, or empty if it may be dispatched
     */
    static Optional<Reason> checkAll(RequestHead head) {
        for (GatewayFilter f : CHAIN) {
            Optional<Reason> refusal = f.check(head);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }
}
