package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;

/** An action that a {@link GroupMapController} requests from its shell. Immutable. */
public sealed interface MapAction {

    /**
     * Reads the state of an upstream.
     *
     * @param upstream identity of the upstream
     */
    record ReadReport(String upstream) implements MapAction {}

    /**
     * Reads how often an upstream has chosen each expert.
     *
     * @param upstream identity of the upstream
     */
    record ReadCounts(String upstream) implements MapAction {}

    /**
     * Reads which experts an upstream holds.
     *
     * @param upstream identity of the upstream
     */
    record ReadExperts(String upstream) implements MapAction {}

    /**
     * Reads which experts an upstream has prepared.
     *
     * @param upstream identity of the upstream
     */
    record ReadPreparedExperts(String upstream) implements MapAction {}

    /**
     * Sends an order to a rank.
     *
     * @param upstream identity of the upstream of the rank
     * @param epoch epoch of the group; the order must not be carried out in any other epoch
     * @param order the order
     */
    record SendOrder(String upstream, int epoch, RankOrder order) implements MapAction {}

    /**
     * Searches for a better map outside the event loop.
     *
     * @param current map in force
     * @param loads loads of each set
     * @param maxNewPerRank maximum number of experts of a set that a rank may add
     * @param version version of the new map
     * @param minGain minimum fraction by which each change of a placement must reduce the load of the most loaded ranks
     */
    record SearchMap(GroupMap current, List<RankLoads> loads, int maxNewPerRank, long version, double minGain)
            implements MapAction {

        /** Copies the list. */
        public SearchMap {
            loads = List.copyOf(loads);
        }

        /**
         * Runs the search.
         *
         * @param maxSteps maximum number of placement changes in a set
         * @return the map found
         */
        public GroupMap search(int maxSteps) {
            List<ExpertMap> next = new ArrayList<>();
            for (int s = 0; s < loads.size(); s++) {
                next.add(new PlacementImprover(current.sets().get(s), loads.get(s), maxNewPerRank)
                        .improve(maxSteps, minGain));
            }
            return new GroupMap(version, next);
        }
    }

    /**
     * Logs an event in the progress of a map change.
     *
     * @param event name of the event
     * @param detail values that describe the event
     */
    record LogEvent(String event, String detail) implements MapAction {}
}
