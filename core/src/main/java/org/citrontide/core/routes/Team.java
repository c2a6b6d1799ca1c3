package org.citrontide.core.routes;

import java.util.Optional;

/**
 * A team that authenticates with its own API keys. Immutable.
 *
 * @param name name of the team
 * @param priority rank of its requests, which overrides the rank of the route
 */
public record Team(String name, Optional<Integer> priority) {}
