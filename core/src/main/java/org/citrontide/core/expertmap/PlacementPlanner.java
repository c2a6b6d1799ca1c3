package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/**
 * Plans the next expert map of a group from its measured loads.
 *
 * <p>Hot experts get replicas until all slots are used. The replicas are then placed, in descending order of their
 * load, on the rank with a free slot that finishes earliest at its speed. Finally, the tokens of each expert are
 * divided among its replicas so that the ranks finish at the same time. Experts are moved only if the time saved over
 * the horizon, compared with new shares on the current placement, exceeds the time to load their weights, so an
 * oscillating load causes no repeated moves.
 *
 * <p>Invariants: each expert is on at least one rank; no rank holds an expert twice; no rank holds more experts than it
 * has slots. Immutable and safe for use by multiple threads.
 */
public final class PlacementPlanner {
    private static final double MIN_GAIN = 0.05;
    private static final double MIN_RESHARE_GAIN = 0.01;

    private final Duration horizon;
    private final Duration loadTime;

    /**
     * Creates a planner.
     *
     * @param horizon time for which the measured loads are assumed to last
     * @param loadTime time to load the weights of one expert from the rate-limited weight store
     */
    public PlacementPlanner(Duration horizon, Duration loadTime) {
        this.horizon = horizon;
        this.loadTime = loadTime;
    }

    /**
     * Plans the next map.
     *
     * @param loads measured loads
     * @param current map in force
     * @return the plan, or empty if no map improves enough on the one in force
     */
    public Optional<Plan> plan(RankLoads loads, ExpertMap current) {
        ExpertMap reshared = new ShareBalancer(current, loads).balance();
        ExpertMap aligned = new MapAligner(place(loads), current, loads).align();
        ExpertMap next = new ShareBalancer(aligned, loads).balance();
        int moves = next.countMovesFrom(current);
        double gain = 1 - next.stepTime(loads) / reshared.stepTime(loads);
        double saved = horizon.toMillis() * gain;
        double cost = (double) loadTime.toMillis() * moves;
        if (moves > 0 && gain >= MIN_GAIN && saved > cost) {
            return Optional.of(new Plan(next, moves, gain));
        }
        double reshareGain = 1 - reshared.stepTime(loads) / current.stepTime(loads);
        return reshareGain < MIN_RESHARE_GAIN ? Optional.empty() : Optional.of(new Plan(reshared, 0, reshareGain));
    }

    private static ExpertMap place(RankLoads loads) {
        int[] replicas = replicas(loads);
        int[] order = IntStream.range(0, loads.experts())
                .boxed()
                .sorted(Comparator.comparingDouble(e -> -loads.expertLoads()[e] / replicas[e]))
                .mapToInt(Integer::intValue)
                .toArray();
        PlacementBuilder builder = new PlacementBuilder(loads);
        for (int e : order) {
            builder.place(e, replicas[e]);
        }
        return builder.build();
    }

    /** Assigns each spare slot to the expert with the largest load per replica; an expert has at most one per rank. */
    private static int[] replicas(RankLoads loads) {
        int[] replicas = new int[loads.experts()];
        PriorityQueue<Integer> byLoadPerReplica =
                new PriorityQueue<>(Comparator.comparingDouble(e -> -loads.expertLoads()[e] / replicas[e]));
        for (int e = 0; e < replicas.length; e++) {
            replicas[e] = 1;
            byLoadPerReplica.add(e);
        }
        int spareSlots = loads.ranks() * loads.slotsPerRank() - replicas.length;
        while (spareSlots > 0 && !byLoadPerReplica.isEmpty()) {
            int e = byLoadPerReplica.poll();
            if (replicas[e] < loads.ranks()) {
                replicas[e]++;
                spareSlots--;
                byLoadPerReplica.add(e);
            }
        }
        return replicas;
    }

    /**
     * A map whose gain exceeds the cost of its moves. Immutable.
     *
     * @param map the map
     * @param moves number of experts whose weights must be loaded, over all ranks
     * @param gain fraction of the step time that the map saves
     */
    public record Plan(ExpertMap map, int moves, double gain) {}
}
