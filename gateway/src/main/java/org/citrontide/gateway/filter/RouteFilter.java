package org.citrontide.gateway.filter;

import java.util.Optional;

import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;

/** Looks up the route by host and longest prefix, and refuses requests that match none. */
final class RouteFilter implements GatewayFilter {
    @Override
    public Optional<Reason> check(RequestHead head) {
        Optional<Route> route = head.host().flatMap(host -> head.table().find(host, head.target()));
        route.ifPresent(head::setRoute);
        return route.isPresent() ? Optional.empty() : Optional.of(Reason.UNKNOWN_SERVICE);
    }
}
