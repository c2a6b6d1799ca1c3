package org.citrontide.core.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configured routes, services and teams. Immutable and thread-safe.
 *
 * <p>Invariant: among the routes that match a request, the one with the longest prefix is selected.
 */
public final class RoutingTable {
    /** The table of a process that has not loaded a configuration yet. */
    public static final RoutingTable NONE =
            new RoutingTable(0, List.of(), Map.of(), CallerLimits.INITIAL, Optional.empty());

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceProfile> services;
    private final CallerLimits limits;
    private final Optional<Map<String, Team>> teamsByKey;

    /**
     * Creates a table.
     *
     * @param version number of the version, 0 for none
     * @param routes all routes
     * @param services services by name
     * @param limits limits on callers
     * @param teamsByKey teams by API key, or empty if callers need no keys
     */
    public RoutingTable(
            long version,
            List<Route> routes,
            Map<String, ServiceProfile> services,
            CallerLimits limits,
            Optional<Map<String, Team>> teamsByKey) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.limits = limits;
        this.teamsByKey = teamsByKey.map(Map::copyOf);
        for (Route r : routes) {
            routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt(r -> -r.prefix().length());
        routesByHost.values().forEach(l -> l.sort(longestFirst));
    }

    /**
     * Returns the version of the configuration.
     *
     * @return version number, 0 for none
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers.
     *
     * @return limits on the size and duration of requests
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether callers need an API key for routes that aren't public.
     *
     * @return true if a key is needed
     */
    public boolean needsKeys() {
        return teamsByKey.isPresent();
    }

    /**
     * Finds the team that an API key belongs to.
     *
     * @param key the key as sent by the caller
     * @return the team, or empty if the key is unknown
     */
    public Optional<Team> team(String key) {
        return teamsByKey.map(t -> t.get(key));
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return its configuration, or empty if there is no such service
     */
    public Optional<ServiceProfile> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return services by name
     */
    public Map<String, ServiceProfile> services() {
        return services;
    }

    /**
     * Returns the rate limits of cold upstreams.
     *
     * @return rule by service, without the services that have none
     */
    public Map<String, ColdRule> coldRules() {
        Map<String, ColdRule> rules = new HashMap<>();
        services.forEach((name, s) -> s.coldRule().ifPresent(r -> rules.put(name, r)));
        return rules;
    }

    /**
     * Returns the performance of the engines.
     *
     * @return engine profile by service, without the services that have none
     */
    public Map<String, EngineProfile> engines() {
        Map<String, EngineProfile> engines = new HashMap<>();
        services.forEach((name, s) -> s.engine().ifPresent(e -> engines.put(name, e)));
        return engines;
    }

    /**
     * Returns the shortest target gap between events among the routes of a service.
     *
     * @param service name of the service
     * @return the gap, zero if no route of the service has one
     */
    public Duration targetGap(String service) {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(r -> r.splits().stream().anyMatch(s -> s.service().equals(service)))
                .map(Route::targetGap)
                .filter(Duration::isPositive)
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the Host header, with or without a port
     * @param target path of the request, with or without a query
     * @return the route with the longest matching prefix, or empty if none matches
     */
    public Optional<Route> find(String host, String target) {
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (Route r : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(r.prefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }
}
