package org.citrontide.core.expertmap;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A map in the making.
 *
 * <p>Invariant: the queue holds each rank with a free place once, ordered by the time at which it would end. Not
 * thread-safe.
 */
final class Placement {
    private static final int FREE = -1;

    private final RankLoads loads;
    private final double[] work;
    private final int[] used;
    private final int[][] experts;
    private final PriorityQueue<Integer> byEnd;

    Placement(RankLoads loads) {
        this.loads = loads;
        work = new double[loads.ranks()];
        used = new int[loads.ranks()];
        experts = new int[loads.ranks()][loads.slotsPerRank()];
        byEnd = new PriorityQueue<>(Comparator.<Integer>comparingDouble(r -> work[r] / loads.rankSpeeds()[r])
                .thenComparingInt(r -> r));
        for (int r = 0; r < loads.ranks(); r++) {
            Arrays.fill(experts[r], FREE);
            byEnd.add(r);
        }
    }

    /** Places the replicas of an expert on the ranks that end earliest. */
    void place(int expert, int replicas) {
        double part = loads.expertLoads()[expert] / replicas;
        int[] chosen = new int[replicas];
        int count = 0;
        while (count < replicas && !byEnd.isEmpty()) {
            chosen[count++] = byEnd.poll();
        }
        for (int i = 0; i < count; i++) {
            int r = chosen[i];
            experts[r][used[r]++] = expert;
            work[r] += part;
            if (used[r] < loads.slotsPerRank()) {
                byEnd.add(r);
            }
        }
    }

    /** Returns the map; a place that stayed free is cut off. */
    ExpertMap map() {
        int[][] map = new int[experts.length][];
        for (int r = 0; r < experts.length; r++) {
            map[r] = Arrays.copyOf(experts[r], used[r]);
        }
        return ExpertMap.equalShares(map, loads.experts());
    }
}
