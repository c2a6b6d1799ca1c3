package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.routes.EngineProfile;

/** An event that a {@link GroupMapController} handles. Immutable; arrays must not be modified. */
public sealed interface MapEvent {

    /**
     * This process was elected and may change maps from now on.
     *
     * @param term number of the term, higher than that of any earlier controller
     */
    record Elected(long term) implements MapEvent {}

    /** This process lost leadership and must not start a change. A change that holds the group is still completed. */
    record Deposed() implements MapEvent {}

    /**
     * The set of upstreams of the service changed.
     *
     * @param upstreams identities of the upstreams that accept requests or are draining
     */
    record MembersChanged(List<String> upstreams) implements MapEvent {

        /** Copies the list. */
        public MembersChanged {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * A read of a report ended.
     *
     * @param upstream identity of the upstream
     * @param report state of the rank, empty if the read failed
     */
    record ReportRead(String upstream, Optional<RankReport> report) implements MapEvent {}

    /**
     * A read of expert counts ended.
     *
     * @param upstream identity of the upstream
     * @param counts counts of the rank, empty if the read failed
     */
    record CountsRead(String upstream, Optional<ExpertCounts> counts) implements MapEvent {}

    /**
     * Cumulative counts of one rank.
     *
     * @param step number of the last pass that started
     * @param epoch epoch of the group
     * @param counts number of times that each expert was chosen, set by set
     */
    record ExpertCounts(long step, int epoch, long[] counts) {}

    /**
     * A read of the experts of a rank ended.
     *
     * @param upstream identity of the upstream
     * @param version version of the map in force
     * @param experts experts by set, empty if the read failed
     */
    record ExpertsRead(String upstream, long version, Optional<int[][]> experts) implements MapEvent {}

    /**
     * A read of the experts that a rank has prepared ended.
     *
     * @param upstream identity of the upstream
     * @param version version of the prepared map
     * @param experts experts by set, empty if the rank has prepared no map or the read failed
     */
    record PreparedExpertsRead(String upstream, long version, Optional<int[][]> experts) implements MapEvent {}

    /**
     * A reply to an order arrived, or the order timed out.
     *
     * @param upstream identity of the upstream
     * @param order the order
     * @param outcome the outcome
     */
    record OrderEnded(String upstream, RankOrder order, OrderOutcome outcome) implements MapEvent {}

    /**
     * A search for a map ended.
     *
     * @param map the map found
     */
    record SearchEnded(GroupMap map) implements MapEvent {}

    /**
     * The configuration set the time that a pass may take.
     *
     * @param targetGap shortest gap between events that any route of the service requests, zero if none does
     */
    record TargetGapChanged(Duration targetGap) implements MapEvent {}

    /**
     * The configuration set other sizes or speeds of the engines of the service.
     *
     * @param profile the new profile
     */
    record ProfileChanged(EngineProfile profile) implements MapEvent {}

    /** The periodic timer fired. */
    record Tick() implements MapEvent {}
}
