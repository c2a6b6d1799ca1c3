package org.citrontide.core.expertmap;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the sidecar of one rank knows of its group's map. The engine holds a copy, from which a restarted sidecar goes
 * on. Immutable.
 *
 * @param rank number of the rank, from 0
 * @param ranks ranks in the group
 * @param switches the maps in force with their first steps, oldest first
 * @param permit last step that the engine may run
 * @param lastVoted highest proposal that this rank voted on
 * @param prepared maps whose weights are loaded
 * @param open proposal that this rank accepted and whose outcome it does not know
 */
public record RankState(
        int rank,
        int ranks,
        List<Switch> switches,
        long permit,
        MapId lastVoted,
        Set<MapId> prepared,
        Optional<OpenVote> open) {

    /** Copies the collections. */
    public RankState {
        switches = List.copyOf(switches);
        prepared = Set.copyOf(prepared);
    }

    /**
     * A map in force from a step on. Immutable.
     *
     * @param step first step under the map
     * @param map the map
     */
    public record Switch(long step, MapId map) {}

    /**
     * An accepted proposal without a known outcome. Immutable.
     *
     * @param proposal the proposal
     * @param accepted ranks known to have accepted it
     */
    public record OpenVote(MapProposal proposal, Set<Integer> accepted) {

        /** Copies the set. */
        public OpenVote {
            accepted = Set.copyOf(accepted);
        }
    }

    /**
     * Returns the state of a rank at the start of its group.
     *
     * @param rank number of the rank
     * @param ranks ranks in the group
     * @return a state without permits
     */
    public static RankState start(int rank, int ranks) {
        return new RankState(
                rank,
                ranks,
                List.of(new Switch(0, MapId.INITIAL)),
                -1,
                MapId.INITIAL,
                Set.of(MapId.INITIAL),
                Optional.empty());
    }

    /**
     * Returns the map that the engine uses in a step.
     *
     * @param step a step up to the permit
     * @return the map
     */
    public MapId mapAt(long step) {
        MapId map = switches.getFirst().map();
        for (Switch s : switches) {
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
    public MapId map() {
        return switches.getLast().map();
    }

    /**
     * Returns what a sidecar knows after a restart: what others said is forgotten.
     *
     * @return this state with the votes of other ranks forgotten
     */
    public RankState restarted() {
        return withOpen(open.map(o -> new OpenVote(o.proposal(), Set.of(rank))));
    }

    RankState withPermit(long newPermit) {
        return new RankState(rank, ranks, switches, newPermit, lastVoted, prepared, open);
    }

    RankState withPrepared(MapId map) {
        Set<MapId> more = new TreeSet<>(prepared);
        more.add(map);
        return new RankState(rank, ranks, switches, permit, lastVoted, more, open);
    }

    RankState withVote(MapId voted, Optional<OpenVote> newOpen) {
        return new RankState(rank, ranks, switches, permit, voted, prepared, newOpen);
    }

    RankState withOpen(Optional<OpenVote> newOpen) {
        return new RankState(rank, ranks, switches, permit, lastVoted, prepared, newOpen);
    }

    RankState withSwitches(List<Switch> newSwitches) {
        return new RankState(rank, ranks, newSwitches, permit, lastVoted, prepared, Optional.empty());
    }
}
