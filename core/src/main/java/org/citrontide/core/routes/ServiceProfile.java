package org.citrontide.core.routes;

import java.util.Optional;

/**
 * What the configuration says of one service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param engine speed and sizes, if its upstreams are model engines
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {}
