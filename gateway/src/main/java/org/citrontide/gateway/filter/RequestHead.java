package org.citrontide.gateway.filter;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.routes.Route;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.core.routes.Team;

/**
 * The head of a caller's request with the route and team that the filters look up.
 *
 * <p>Not thread-safe: owned by the gateway's event loop.
 */
public final class RequestHead {
    private final String target;
    private final HttpHeaders headers;
    private final RoutingTable table;
    private Optional<Route> route = Optional.empty();
    private Optional<Team> team = Optional.empty();

    /**
     * Creates a head without a route and team.
     *
     * @param target path and query
     * @param headers header fields
     * @param table routing table in force
     */
    public RequestHead(String target, HttpHeaders headers, RoutingTable table) {
        this.target = target;
        this.headers = headers;
        this.table = table;
    }

    /**
     * Returns the route; call only after the filters passed the request.
     *
     * @return the route
     */
    public Route route() {
        return route.orElseThrow();
    }

    /**
     * Returns the team that holds the caller's key.
     *
     * @return the team, or empty if the caller sent no key or one that no team holds
     */
    public Optional<Team> team() {
        return team;
    }

    String target() {
        return target;
    }

    RoutingTable table() {
        return table;
    }

    Optional<String> header(CharSequence name) {
        return Optional.ofNullable(headers.get(name));
    }

    Optional<String> host() {
        return headers.getAll(HttpHeaderNames.HOST).size() == 1 ? header(HttpHeaderNames.HOST) : Optional.empty();
    }

    void setRoute(Route newRoute) {
        route = Optional.of(newRoute);
    }

    void setTeam(Optional<Team> newTeam) {
        team = newTeam;
    }
}
