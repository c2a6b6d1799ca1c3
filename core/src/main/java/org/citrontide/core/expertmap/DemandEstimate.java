package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how much each expert is in demand, from the running counts of a few ranks.
 *
 * <p>The load that it answers: demand that moves to other experts every few seconds, while each read of counts costs a
 * pause of the group. Newer differences weigh more than older ones. Not thread-safe.
 */
final class DemandEstimate {
    // Half of a change of demand is seen at the next read, most of it at the one after.
    private static final double NEWEST_WEIGHT = 0.65;
    // Keeps experts that few ranks asked for from being taken for idle.
    private static final double FLOOR_SHARE = 0.1;

    private final int sets;
    private final int experts;
    private final Map<Integer, long[]> lastByRank = new HashMap<>();
    private final double[] shares;
    private long[] fresh;
    private boolean isKnown;

    DemandEstimate(int sets, int experts) {
        this.sets = sets;
        this.experts = experts;
        this.shares = new double[sets * experts];
        this.fresh = new long[sets * experts];
    }

    /** Takes the running counts of one rank. */
    void read(int rank, long[] counts) {
        long[] last = lastByRank.put(rank, counts.clone());
        if (last == null) {
            return;
        }
        for (int i = 0; i < fresh.length; i++) {
            fresh[i] += Math.max(0, counts[i] - last[i]);
        }
    }

    /** Forgets the counts that differences are taken from, but not the estimate. */
    void countsBeginAnew() {
        lastByRank.clear();
    }

    boolean isKnown() {
        return isKnown;
    }

    /** Folds the counts since the last call into the estimate; returns false if there were too few. */
    boolean fold(long leastPerSet) {
        long total = 0;
        for (long f : fresh) {
            total += f;
        }
        if (total < leastPerSet * sets) {
            return false;
        }
        for (int s = 0; s < sets; s++) {
            foldSet(s);
        }
        fresh = new long[fresh.length];
        isKnown = true;
        return true;
    }

    List<RankLoads> loads(double[] speeds, int placesPerRank) {
        List<RankLoads> loads = new ArrayList<>();
        for (int s = 0; s < sets; s++) {
            double[] set = new double[experts];
            for (int e = 0; e < experts; e++) {
                set[e] = shares[s * experts + e] + FLOOR_SHARE / experts;
            }
            loads.add(new RankLoads(set, speeds, placesPerRank));
        }
        return loads;
    }

    private void foldSet(int s) {
        double sum = 0;
        for (int e = 0; e < experts; e++) {
            sum += fresh[s * experts + e];
        }
        if (sum == 0) {
            return;
        }
        double weight = isKnown ? NEWEST_WEIGHT : 1;
        for (int e = 0; e < experts; e++) {
            int i = s * experts + e;
            shares[i] += weight * (fresh[i] / sum - shares[i]);
        }
    }
}
