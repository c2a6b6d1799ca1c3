package org.citrontide.core.routes;

import java.util.Optional;

/**
 * The configuration of one service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all clients together
 * @param engine performance and capacity of its upstreams, if they are model engines
 * @param coldRule rate limit of its cold upstreams, if it has one
 */
public record ServiceProfile(
        String name, int maxConnections, Optional<EngineProfile> engine, Optional<ColdRule> coldRule) {

    /**
     * Creates the configuration of a service whose cold upstreams have no rate limit.
     *
     * @param name name of the service
     * @param maxConnections maximum number of connections that one upstream accepts from all clients together
     * @param engine performance and capacity of its upstreams, if they are model engines
     */
    public ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {
        this(name, maxConnections, engine, Optional.empty());
    }
}
