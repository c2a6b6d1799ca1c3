package org.citrontide.core.expertmap;

/**
 * Proposal to switch to another map at a given step. Immutable.
 *
 * @param map the new map
 * @param base the map that it replaces
 * @param step first step under the new map
 */
public record MapProposal(MapId map, MapId base, long step) {

    /**
     * Checks that the identifier of the new map is higher than that of its base.
     *
     * @throws IllegalArgumentException if the identifier of the new map is not higher than that of its base
     */
    public MapProposal {
        if (map.compareTo(base) <= 0) {
            throw new IllegalArgumentException(map + " is not higher than its base " + base);
        }
    }
}
