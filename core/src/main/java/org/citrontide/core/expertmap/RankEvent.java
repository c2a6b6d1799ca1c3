package org.citrontide.core.expertmap;

/** What happens to a rank's part in a change of map. Immutable. */
public sealed interface RankEvent {

    /**
     * The controller asks for a map's weights to be loaded.
     *
     * @param map the map
     */
    record Prepare(MapId map) implements RankEvent {}

    /**
     * The engine has loaded a map's weights.
     *
     * @param map the map
     */
    record Loaded(MapId map) implements RankEvent {}

    /**
     * The controller proposes, or another rank asks for this rank's vote.
     *
     * @param proposal the proposal
     */
    record Proposed(MapProposal proposal) implements RankEvent {}

    /**
     * Another rank's vote became known.
     *
     * @param rank the other rank
     * @param map the proposed map
     * @param accepted its vote
     */
    record VoteHeard(int rank, MapId map, boolean accepted) implements RankEvent {}

    /**
     * The engine will soon have run all permitted steps.
     *
     * @param steps further steps wanted
     */
    record StepsWanted(int steps) implements RankEvent {}
}
