package org.citrontide.core.expertmap;

/**
 * A proposal to use another map from a step on. Immutable.
 *
 * @param map the new map
 * @param base the map that it takes the place of
 * @param step first step under the new map
 */
public record MapProposal(MapId map, MapId base, long step) {

    /**
     * Checks the order of the maps.
     *
     * @throws IllegalArgumentException if the new map is not above its base
     */
    public MapProposal {
        if (map.compareTo(base) <= 0) {
            throw new IllegalArgumentException(map + " is not above " + base);
        }
    }
}
