package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Permutes the ranks of a new map so that most experts stay where they are in the current map, to reduce moves.
 *
 * <p>Greedy: pairs of ranks with the most experts in common come first. Invariant: experts of one rank stay together,
 * and only ranks of about equal speed are exchanged. Not thread-safe.
 */
final class MapAligner {

    /** A rank of the new map, a rank of the current map, and the number of experts that they have in common. */
    private record Pair(int nextRank, int rank, int common) {}

    private static final double SPEED_STEPS_PER_UNIT = 50;

    private final ExpertMap next;
    private final ExpertMap current;
    private final long[] speedSteps;

    MapAligner(ExpertMap next, ExpertMap current, RankLoads loads) {
        this.next = next;
        this.current = current;
        this.speedSteps = Arrays.stream(loads.rankSpeeds())
                .mapToLong(s -> Math.round(s * SPEED_STEPS_PER_UNIT))
                .toArray();
    }

    ExpertMap align() {
        int ranks = next.experts().length;
        int[][] result = new int[ranks][];
        double[][] shares = new double[ranks][];
        boolean[] assigned = new boolean[ranks];
        for (Pair p : pairs()) {
            if (result[p.rank()] == null && !assigned[p.nextRank()]) {
                result[p.rank()] = next.experts()[p.nextRank()];
                shares[p.rank()] = next.shares()[p.nextRank()];
                assigned[p.nextRank()] = true;
            }
        }
        return new ExpertMap(result, shares);
    }

    private List<Pair> pairs() {
        int ranks = next.experts().length;
        int[][] sorted = new int[ranks][];
        for (int r = 0; r < ranks; r++) {
            sorted[r] = current.experts()[r].clone();
            Arrays.sort(sorted[r]);
        }
        List<Pair> pairs = new ArrayList<>(ranks * ranks);
        for (int nextRank = 0; nextRank < ranks; nextRank++) {
            for (int r = 0; r < ranks; r++) {
                if (speedSteps[nextRank] != speedSteps[r]) {
                    continue;
                }
                int common = 0;
                for (int e : next.experts()[nextRank]) {
                    common += Arrays.binarySearch(sorted[r], e) >= 0 ? 1 : 0;
                }
                pairs.add(new Pair(nextRank, r, common));
            }
        }
        pairs.sort(Comparator.comparingInt(Pair::common).reversed());
        return pairs;
    }
}
