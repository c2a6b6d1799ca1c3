package org.citrontide.core.expertmap;

/**
 * An order to the engine of one rank. Orders are idempotent: a rank that has already carried one out confirms it again.
 * Immutable.
 */
public sealed interface RankOrder {

    /**
     * Copies the experts that a map adds to the rank.
     *
     * @param map the map
     */
    record Prepare(GroupMap map) implements RankOrder {}

    /**
     * Makes the rank switch to a prepared map at the start of a pass.
     *
     * @param version version of the map
     * @param step number of the pass
     */
    record Arm(long version, long step) implements RankOrder {}

    /**
     * Prevents the group from starting a pass.
     *
     * @param step number of the pass
     */
    record Hold(long step) implements RankOrder {}

    /**
     * Allows the group to start a pass that this rank holds.
     *
     * @param step number of the pass
     */
    record Go(long step) implements RankOrder {}
}
