package org.citrontide.core.routes;

import java.util.Optional;
import java.util.Set;

/**
 * A team that authenticates with its own API keys. Immutable.
 *
 * @param name name of the team
 * @param priority rank of its requests, which overrides the rank of the route
 * @param allowedRegions regions of the upstreams that its requests may go to, empty for all
 */
public record Team(String name, Optional<Integer> priority, Set<String> allowedRegions) {

    /** Copies the set. */
    public Team {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a team whose requests may go to all regions.
     *
     * @param name name of the team
     * @param priority rank of its requests, which overrides the rank of the route
     */
    public Team(String name, Optional<Integer> priority) {
        this(name, priority, Set.of());
    }
}
