package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Gives the sets of experts of a new map to the ranks that hold most of them already.
 *
 * <p>Invariant: the sets stay as they are; only ranks of about equal speed are exchanged.
 * Greedy: pairs with the most experts in common
 * first. Confined to one call.
 */
final class MapAlignment {

    /** A set of the new map on a rank of the old one. */
    private record Pair(int set, int rank, int common) {}

    private static final double SPEED_STEPS = 50;

    private final ExpertMap next;
    private final ExpertMap current;
    private final long[] speedSteps;

    MapAlignment(ExpertMap next, ExpertMap current, RankLoads loads) {
        this.next = next;
        this.current = current;
        this.speedSteps = Arrays.stream(loads.rankSpeeds())
                .mapToLong(s -> Math.round(s * SPEED_STEPS))
                .toArray();
    }

    ExpertMap aligned() {
        int ranks = next.experts().length;
        int[][] result = new int[ranks][];
        double[][] shares = new double[ranks][];
        boolean[] placed = new boolean[ranks];
        for (Pair p : pairs()) {
            if (result[p.rank()] == null && !placed[p.set()]) {
                result[p.rank()] = next.experts()[p.set()];
                shares[p.rank()] = next.shares()[p.set()];
                placed[p.set()] = true;
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
        for (int set = 0; set < ranks; set++) {
            for (int r = 0; r < ranks; r++) {
                if (speedSteps[set] != speedSteps[r]) {
                    continue;
                }
                int common = 0;
                for (int e : next.experts()[set]) {
                    common += Arrays.binarySearch(sorted[r], e) >= 0 ? 1 : 0;
                }
                pairs.add(new Pair(set, r, common));
            }
        }
        pairs.sort(Comparator.comparingInt(Pair::common).reversed());
        return pairs;
    }
}
