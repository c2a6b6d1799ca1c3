package org.citrontide.core.expertmap;

import java.util.Arrays;

/**
 * Expert loads and rank speeds of a group, as input for planning. The arrays must not be changed.
 *
 * @param expertLoads load of each expert, in one unit for all, such as tokens or shares of the selections
 * @param rankSpeeds speed of each rank relative to a healthy rank, which has 1
 * @param slotsPerRank maximum number of experts on one rank
 */
public record RankLoads(double[] expertLoads, double[] rankSpeeds, int slotsPerRank) {

    /**
     * Checks that the ranks have a slot for each expert and positive speeds.
     *
     * @throws IllegalArgumentException if there are more experts than slots, or a speed is not positive
     */
    public RankLoads {
        if (expertLoads.length > rankSpeeds.length * slotsPerRank) {
            throw new IllegalArgumentException(
                    expertLoads.length + " experts do not fit into " + rankSpeeds.length * slotsPerRank + " slots");
        }
        if (Arrays.stream(rankSpeeds).anyMatch(s -> s <= 0)) {
            throw new IllegalArgumentException("rank speeds must be positive");
        }
    }

    int experts() {
        return expertLoads.length;
    }

    int ranks() {
        return rankSpeeds.length;
    }
}
