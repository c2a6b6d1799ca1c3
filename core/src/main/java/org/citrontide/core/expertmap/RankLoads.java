package org.citrontide.core.expertmap;

import java.util.Arrays;

/**
 * What a planner knows of a group. The arrays must not be changed.
 *
 * @param expertLoads tokens routed to each expert in the last interval
 * @param rankSpeeds tokens a rank works off in a second relative to a healthy one, which has 1
 * @param slotsPerRank experts that fit on one rank
 */
public record RankLoads(double[] expertLoads, double[] rankSpeeds, int slotsPerRank) {

    /**
     * Checks that the experts fit.
     *
     * @throws IllegalArgumentException if there are more experts than places, or a speed is not positive
     */
    public RankLoads {
        if (expertLoads.length > rankSpeeds.length * slotsPerRank) {
            throw new IllegalArgumentException(
                    expertLoads.length + " experts need more than " + rankSpeeds.length * slotsPerRank + " places");
        }
        if (Arrays.stream(rankSpeeds).anyMatch(s -> s <= 0)) {
            throw new IllegalArgumentException("every rank's speed must be positive");
        }
    }

    int experts() {
        return expertLoads.length;
    }

    int ranks() {
        return rankSpeeds.length;
    }
}
