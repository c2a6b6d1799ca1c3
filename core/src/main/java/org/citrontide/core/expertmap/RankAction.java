package org.citrontide.core.expertmap;

/**
 * An action that a {@link RankCommitProtocol} requests from its shell, which performs those of a transition in order.
 * Immutable.
 */
public sealed interface RankAction {

    /**
     * Makes the engine load the weights of a map in addition to those in use.
     *
     * @param map the map
     */
    record LoadWeights(MapId map) implements RankAction {}

    /**
     * Stores the new state in the engine. The actions that follow wait until the engine has confirmed it.
     *
     * @param state the state
     */
    record PersistState(RankState state) implements RankAction {}

    /**
     * Sends the vote of this rank to the requester and to all other ranks.
     *
     * @param map the proposed map
     * @param accepted true if this rank accepts the proposal
     */
    record SendVote(MapId map, boolean accepted) implements RankAction {}

    /**
     * Requests the votes of the ranks whose votes are unknown.
     *
     * @param proposal the proposal
     */
    record RequestVotes(MapProposal proposal) implements RankAction {}
}
