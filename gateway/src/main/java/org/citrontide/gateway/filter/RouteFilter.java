package org.citrontide.gateway.filter;

import java.util.Optional;

import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;

/** Finds the route by host and longest prefix. */
final class RouteFilter implements GatewayFilter {
    @Override
    public Optional<Reason> check(RequestHead head) {
        Optional<Route> route = head.host().flatMap(h -> head.table().find(h, head.target()));
        route.ifPresent(head::setRoute);
        return route.isPresent() ? Optional.empty() : Optional.of(Reason.UNKNOWN_SERVICE);
    }
}
