package org.citrontide.core.expertmap;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * State of the sidecar of one rank regarding the expert map of its group. The engine holds a copy, from which a
 * restarted sidecar recovers. Immutable.
 *
 * @param rank number of the rank, from 0
 * @param groupSize number of ranks in the group
 * @param switches the maps in force with their first steps, oldest first
 * @param permittedStep last step that the engine may run
 * @param lastVoted highest proposal that this rank voted on
 * @param prepared maps whose weights are loaded
 * @param pendingVote proposal that this rank accepted and whose outcome it does not know
 */
public record RankState(
        int rank,
        int groupSize,
        List<MapSwitch> switches,
        long permittedStep,
        MapId lastVoted,
        Set<MapId> prepared,
        Optional<PendingVote> pendingVote) {

    /** Copies the collections. */
    public RankState {
        switches = List.copyOf(switches);
        prepared = Set.copyOf(prepared);
    }

    /**
     * A map and the first step in which it is in force. Immutable.
     *
     * @param step first step under the map
     * @param map the map
     */
    public record MapSwitch(long step, MapId map) {}

    /**
     * An accepted proposal whose outcome is unknown. Immutable.
     *
     * @param proposal the proposal
     * @param accepted ranks known to have accepted it
     */
    public record PendingVote(MapProposal proposal, Set<Integer> accepted) {

        /** Copies the set. */
        public PendingVote {
            accepted = Set.copyOf(accepted);
        }
    }

    /**
     * Returns the state of a rank when its group forms.
     *
     * @param rank number of the rank
     * @param groupSize number of ranks in the group
     * @return a state in which no step is permitted
     */
    public static RankState initial(int rank, int groupSize) {
        return new RankState(
                rank,
                groupSize,
                List.of(new MapSwitch(0, MapId.INITIAL)),
                -1,
                MapId.INITIAL,
                Set.of(MapId.INITIAL),
                Optional.empty());
    }

    /**
     * Returns the map that the engine uses in a step.
     *
     * @param step a step up to the last permitted one
     * @return the map
     */
    public MapId mapAt(long step) {
        MapId map = switches.getFirst().map();
        for (MapSwitch s : switches) {
            if (s.step() <= step) {
                map = s.map();
            }
        }
        return map;
    }

    /**
     * Returns the newest map in force.
     *
     * @return the map of the last switch
     */
    public MapId currentMap() {
        return switches.getLast().map();
    }

    /**
     * Returns the state that a sidecar recovers after a restart. Votes received from other ranks are not persisted.
     *
     * @return this state without the votes of other ranks
     */
    public RankState afterRestart() {
        return withPendingVote(pendingVote.map(vote -> new PendingVote(vote.proposal(), Set.of(rank))));
    }

    RankState withPermittedStep(long newPermittedStep) {
        return new RankState(rank, groupSize, switches, newPermittedStep, lastVoted, prepared, pendingVote);
    }

    RankState withPrepared(MapId map) {
        Set<MapId> more = new TreeSet<>(prepared);
        more.add(map);
        return new RankState(rank, groupSize, switches, permittedStep, lastVoted, more, pendingVote);
    }

    RankState withVote(MapId voted, Optional<PendingVote> newPendingVote) {
        return new RankState(rank, groupSize, switches, permittedStep, voted, prepared, newPendingVote);
    }

    RankState withPendingVote(Optional<PendingVote> newPendingVote) {
        return new RankState(rank, groupSize, switches, permittedStep, lastVoted, prepared, newPendingVote);
    }

    RankState withSwitches(List<MapSwitch> newSwitches) {
        return new RankState(rank, groupSize, newSwitches, permittedStep, lastVoted, prepared, Optional.empty());
    }
}
