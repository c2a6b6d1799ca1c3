package org.citrontide.core.routes;

import java.util.Optional;

/**
 * The configuration of one service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all clients together
 * @param engine performance and capacity of its upstreams, if they are model engines
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {}
