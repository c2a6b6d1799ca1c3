package org.citrontide.core.routes;

import java.util.Optional;

/**
 * A team that calls with keys of its own. Immutable.
 *
 * @param name name of the team
 * @param priority rank of its requests, which goes before the route's
 */
public record Team(String name, Optional<Integer> priority) {}
