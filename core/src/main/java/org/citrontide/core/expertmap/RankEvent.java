package org.citrontide.core.expertmap;

/** An event that a {@link RankCommitProtocol} handles. Immutable. */
public sealed interface RankEvent {

    /**
     * The controller requested that the weights of a map be loaded.
     *
     * @param map the map
     */
    record PrepareRequested(MapId map) implements RankEvent {}

    /**
     * The engine has loaded the weights of a map.
     *
     * @param map the map
     */
    record WeightsLoaded(MapId map) implements RankEvent {}

    /**
     * The controller sent a proposal, or another rank requested the vote of this rank on it.
     *
     * @param proposal the proposal
     */
    record ProposalReceived(MapProposal proposal) implements RankEvent {}

    /**
     * The vote of another rank arrived.
     *
     * @param rank number of the other rank
     * @param map the proposed map
     * @param accepted true if the other rank accepts the proposal
     */
    record VoteReceived(int rank, MapId map, boolean accepted) implements RankEvent {}

    /**
     * The engine is about to run out of permitted steps.
     *
     * @param steps number of further steps requested
     */
    record StepsRequested(int steps) implements RankEvent {}
}
