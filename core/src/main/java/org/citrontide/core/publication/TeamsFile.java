package org.citrontide.core.publication;

import java.util.Map;

/**
 * The teams and the hashes of their tokens. Immutable.
 *
 * @param teamsByTokenHash team names by lower-case hexadecimal SHA-256 of the token
 */
public record TeamsFile(Map<String, String> teamsByTokenHash) implements PublishedFile {

    /** Copies the map. */
    public TeamsFile {
        teamsByTokenHash = Map.copyOf(teamsByTokenHash);
    }
}
