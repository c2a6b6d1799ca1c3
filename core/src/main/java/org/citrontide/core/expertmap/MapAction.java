package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;

/** What a {@link GroupMapController} asks of its shell. Immutable. */
public sealed interface MapAction {

    /**
     * Read the state of an upstream.
     *
     * @param upstream its identity
     */
    record ReadReport(String upstream) implements MapAction {}

    /**
     * Read the counts of an upstream's expert choices.
     *
     * @param upstream its identity
     */
    record ReadCounts(String upstream) implements MapAction {}

    /**
     * Read which experts an upstream holds.
     *
     * @param upstream its identity
     */
    record ReadExperts(String upstream) implements MapAction {}

    /**
     * Send an order.
     *
     * @param upstream identity of the rank's upstream
     * @param epoch epoch of the group outside which the order must not be carried out
     * @param order the order
     */
    record Send(String upstream, int epoch, RankOrder order) implements MapAction {}

    /**
     * Search for a better map, away from the event loop.
     *
     * @param current map in force
     * @param loads loads of each set
     * @param newPerRank most experts of a set that a rank may take in
     * @param version version of the new map
     * @param leastGain part by which each change of a place must relieve the most loaded ranks
     */
    record Plan(GroupMap current, List<RankLoads> loads, int newPerRank, long version, double leastGain)
            implements MapAction {

        /** Copies the list. */
        public Plan {
            loads = List.copyOf(loads);
        }

        /**
         * Searches.
         *
         * @param maxSteps most changes of places in a set
         * @return the map found
         */
        public GroupMap search(int maxSteps) {
            List<ExpertMap> next = new ArrayList<>();
            for (int s = 0; s < loads.size(); s++) {
                next.add(new PlacementImprover(current.sets().get(s), loads.get(s), newPerRank)
                        .improve(maxSteps, leastGain));
            }
            return new GroupMap(version, next);
        }
    }

    /**
     * Record a change of what is believed of the group.
     *
     * @param event name of the event
     * @param detail what it depended on
     */
    record Note(String event, String detail) implements MapAction {}
}
