package org.citrontide.core.expertmap;

/** What a rank's part in a change of map asks of its shell, in order. Immutable. */
public sealed interface RankAction {

    /**
     * Have the engine load a map's weights beside those in use.
     *
     * @param map the map
     */
    record Load(MapId map) implements RankAction {}

    /**
     * Hand the new state to the engine; what follows waits until the engine holds it.
     *
     * @param state the state
     */
    record Keep(RankState state) implements RankAction {}

    /**
     * Tell this rank's vote to whoever asked and to all other ranks.
     *
     * @param map the proposed map
     * @param accepted the vote
     */
    record Vote(MapId map, boolean accepted) implements RankAction {}

    /**
     * Ask the ranks whose votes are not known for them.
     *
     * @param proposal the proposal
     */
    record AskVotes(MapProposal proposal) implements RankAction {}
}
