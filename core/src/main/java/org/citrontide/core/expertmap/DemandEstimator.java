package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the demand for each expert from the cumulative selection counts of a few ranks.
 *
 * <p>Demand may shift to other experts every few seconds, while each read of the counts pauses the group. The estimate
 * is an exponentially weighted average of the differences between reads. Not thread-safe.
 */
final class DemandEstimator {
    // Weight of a new read while the demand is steady: averages over about three reads, as one covers few requests.
    private static final double STEADY_WEIGHT = 0.4;
    // Weight of a new read after a shift: older counts say little about the demand.
    private static final double SHIFTED_WEIGHT = 0.9;
    // Reads of a steady demand differ by 3 to 7%; a shift moves a quarter of the selections or more.
    private static final double SHIFT_THRESHOLD = 0.15;
    // Added to the shares of a set, in equal parts, so that rarely selected experts are not treated as idle.
    private static final double FLOOR_SHARE = 0.1;

    private final int sets;
    private final int experts;
    private final Map<Integer, long[]> lastCountsByRank = new HashMap<>();
    private final double[] shares;
    private long[] newCounts;
    private boolean hasEstimate;
    private boolean hasShifted;
    private long selections;

    DemandEstimator(int sets, int experts) {
        this.sets = sets;
        this.experts = experts;
        this.shares = new double[sets * experts];
        this.newCounts = new long[sets * experts];
    }

    /** Adds the increase of the cumulative counts of one rank since its last read. */
    void recordCounts(int rank, long[] counts) {
        long[] last = lastCountsByRank.put(rank, counts.clone());
        if (last == null) {
            return;
        }
        for (int i = 0; i < newCounts.length; i++) {
            newCounts[i] += Math.max(0, counts[i] - last[i]);
        }
    }

    /** Discards the last counts of the ranks, which have restarted at zero, and keeps the estimate. */
    void resetCounters() {
        lastCountsByRank.clear();
    }

    boolean hasEstimate() {
        return hasEstimate;
    }

    /** Updates the estimate with the counts recorded since the last update; returns false if there were too few. */
    boolean update(long minPerSet) {
        long total = 0;
        for (long count : newCounts) {
            total += count;
        }
        if (total < minPerSet * sets) {
            return false;
        }
        selections = total;
        hasShifted = hasEstimate && shiftedFraction() > SHIFT_THRESHOLD;
        for (int s = 0; s < sets; s++) {
            updateSet(s);
        }
        newCounts = new long[newCounts.length];
        hasEstimate = true;
        return true;
    }

    /** Returns true if the last update showed a shift of the demand to other experts. */
    boolean hasShifted() {
        return hasShifted;
    }

    /** Returns the number of expert selections that the last update used. */
    long selections() {
        return selections;
    }

    List<RankLoads> loads(double[] speeds, int slotsPerRank) {
        List<RankLoads> loads = new ArrayList<>();
        for (int s = 0; s < sets; s++) {
            double[] set = new double[experts];
            for (int e = 0; e < experts; e++) {
                set[e] = shares[s * experts + e] + FLOOR_SHARE / experts;
            }
            loads.add(new RankLoads(set, speeds, slotsPerRank));
        }
        return loads;
    }

    /** Returns the fraction of the selections that differs from the estimate, as a mean over the sets. */
    private double shiftedFraction() {
        double shifted = 0;
        for (int s = 0; s < sets; s++) {
            double sum = newCountsOfSet(s);
            for (int e = 0; e < experts && sum > 0; e++) {
                int i = s * experts + e;
                shifted += Math.max(0, newCounts[i] / sum - shares[i]);
            }
        }
        return shifted / sets;
    }

    private double newCountsOfSet(int s) {
        double sum = 0;
        for (int e = 0; e < experts; e++) {
            sum += newCounts[s * experts + e];
        }
        return sum;
    }

    private void updateSet(int s) {
        double sum = newCountsOfSet(s);
        if (sum == 0) {
            return;
        }
        double weight = hasEstimate ? (hasShifted ? SHIFTED_WEIGHT : STEADY_WEIGHT) : 1;
        for (int e = 0; e < experts; e++) {
            int i = s * experts + e;
            shares[i] += weight * (newCounts[i] / sum - shares[i]);
        }
    }
}
