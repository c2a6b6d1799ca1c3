package org.citrontide.core.expertmap;

/**
 * An order to the engine of one rank. Repeating one does no harm: a rank that has carried it out says so. Immutable.
 */
public sealed interface RankOrder {

    /**
     * Copy the experts that a map brings new to the rank.
     *
     * @param map the map
     */
    record Prepare(GroupMap map) implements RankOrder {}

    /**
     * Switch to a prepared map as a pass begins.
     *
     * @param version version of the map
     * @param step the pass
     */
    record Arm(long version, long step) implements RankOrder {}

    /**
     * Forget an armed map, which stays prepared.
     *
     * @param version version of the map
     */
    record Disarm(long version) implements RankOrder {}

    /**
     * Keep the group from beginning a pass.
     *
     * @param step the pass
     */
    record Hold(long step) implements RankOrder {}

    /**
     * Let the group begin a pass that this rank holds.
     *
     * @param step the pass
     */
    record Go(long step) implements RankOrder {}
}
