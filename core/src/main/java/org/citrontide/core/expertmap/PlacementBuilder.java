package org.citrontide.core.expertmap;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Builds an expert map by assigning experts to the ranks one by one.
 *
 * <p>Invariant: the queue holds each rank with a free slot once, ordered by its finish time under the load assigned so
 * far. Not thread-safe.
 */
final class PlacementBuilder {
    private static final int FREE = -1;

    private final RankLoads loads;
    private final double[] rankWork;
    private final int[] usedSlots;
    private final int[][] experts;
    private final PriorityQueue<Integer> byFinishTime;

    PlacementBuilder(RankLoads loads) {
        this.loads = loads;
        rankWork = new double[loads.ranks()];
        usedSlots = new int[loads.ranks()];
        experts = new int[loads.ranks()][loads.slotsPerRank()];
        byFinishTime = new PriorityQueue<>(Comparator.<Integer>comparingDouble(r -> rankWork[r] / loads.rankSpeeds()[r])
                .thenComparingInt(r -> r));
        for (int r = 0; r < loads.ranks(); r++) {
            Arrays.fill(experts[r], FREE);
            byFinishTime.add(r);
        }
    }

    /** Assigns the replicas of an expert to the ranks with free slots that finish earliest. */
    void place(int expert, int replicas) {
        double loadPerReplica = loads.expertLoads()[expert] / replicas;
        int[] chosen = new int[replicas];
        int count = 0;
        while (count < replicas && !byFinishTime.isEmpty()) {
            chosen[count++] = byFinishTime.poll();
        }
        for (int i = 0; i < count; i++) {
            int r = chosen[i];
            experts[r][usedSlots[r]++] = expert;
            rankWork[r] += loadPerReplica;
            if (usedSlots[r] < loads.slotsPerRank()) {
                byFinishTime.add(r);
            }
        }
    }

    /** Returns the map, without free slots and with equal shares for the replicas of an expert. */
    ExpertMap build() {
        int[][] map = new int[experts.length][];
        for (int r = 0; r < experts.length; r++) {
            map[r] = Arrays.copyOf(experts[r], usedSlots[r]);
        }
        return ExpertMap.equalShares(map, loads.experts());
    }
}
