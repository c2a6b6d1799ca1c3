package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates the demand for each expert from the cumulative selection counts of a few ranks.
 *
 * <p>Demand may shift to other experts every few seconds, while each read of the counts pauses the group. The estimate
 * is an exponentially weighted average of the differences between reads. A read covers so few requests that it may
 * differ from the estimate by chance, so a shift is recognized at once only if the read differs by far more than reads
 * usually do from each other, and otherwise if the next read differs in the same way. Not thread-safe.
 */
final class DemandEstimator {
    // Weight of a new read while the demand is steady: averages over about three reads, as one covers few requests.
    private static final double STEADY_WEIGHT = 0.4;
    // Weight of a read that shows a shift: older counts say little about the demand.
    private static final double SHIFTED_WEIGHT = 0.9;
    // Weight of a read that confirms the shift which the one before suggested: both count equally.
    private static final double CONFIRMING_WEIGHT = 0.5;
    // Reads of a steady demand of many requests differ by 3 to 7%; a shift moves a quarter of the selections or more.
    private static final double SHIFT_THRESHOLD = 0.15;
    // Two reads confirm a shift if they differ from each other by less than this part of their difference from the
    // estimate; by chance they differ from each other by more.
    private static final double MAX_CONFIRMING_DIFFERENCE = 0.7;
    // A read that differs from the estimate by more than this multiple of the usual difference needs no confirmation.
    private static final double CLEAR_SHIFT_FACTOR = 2;
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

    private Optional<double[]> lastSample = Optional.empty();

    /** Whether the last sample differed from the estimate as after a shift, or by chance. */
    private boolean isShiftSuspected;

    private final RecentMedian sampleDistance = new RecentMedian();

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
        double[] sample = sampleShares();
        hasShifted = false;
        if (hasEstimate) {
            handleSample(sample);
        } else {
            blend(sample, 1);
        }
        lastSample.ifPresent(last -> sampleDistance.record(distance(sample, last)));
        lastSample = Optional.of(sample);
        newCounts = new long[newCounts.length];
        hasEstimate = true;
        return true;
    }

    /** Returns true if the last update showed a shift of the demand to other experts. */
    boolean hasShifted() {
        return hasShifted;
    }

    /** Returns true if the last update differed from the estimate as after a shift, which the next one may confirm. */
    boolean isShiftSuspected() {
        return isShiftSuspected;
    }

    /** Returns the part of the selections by which two samples usually differ, 0 if that is not known yet. */
    double usualDifference() {
        return sampleDistance.isKnown() ? sampleDistance.value() : 0;
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

    private void handleSample(double[] sample) {
        double difference = distance(sample, shares);
        boolean isDifferent = difference > SHIFT_THRESHOLD;
        boolean isClear = sampleDistance.isKnown() && difference > CLEAR_SHIFT_FACTOR * sampleDistance.value();
        boolean isConfirmed =
                isShiftSuspected && distance(sample, lastSample.orElseThrow()) < MAX_CONFIRMING_DIFFERENCE * difference;
        hasShifted = isDifferent && (isClear || isConfirmed);
        isShiftSuspected = isDifferent && !hasShifted;
        if (!hasShifted) {
            blend(sample, STEADY_WEIGHT);
        } else if (isClear) {
            blend(sample, SHIFTED_WEIGHT);
        } else {
            System.arraycopy(lastSample.orElseThrow(), 0, shares, 0, shares.length);
            blend(sample, CONFIRMING_WEIGHT);
        }
    }

    /** Returns the fraction of the selections that differs between two estimates, as a mean over the sets. */
    private double distance(double[] a, double[] b) {
        double difference = 0;
        for (int i = 0; i < a.length; i++) {
            difference += Math.max(0, a[i] - b[i]);
        }
        return difference / sets;
    }

    /** Returns the shares of the new counts in the selections of each set; a set without any keeps its estimate. */
    private double[] sampleShares() {
        double[] sample = shares.clone();
        for (int s = 0; s < sets; s++) {
            double sum = newCountsOfSet(s);
            for (int e = 0; e < experts && sum > 0; e++) {
                sample[s * experts + e] = newCounts[s * experts + e] / sum;
            }
        }
        return sample;
    }

    private double newCountsOfSet(int s) {
        double sum = 0;
        for (int e = 0; e < experts; e++) {
            sum += newCounts[s * experts + e];
        }
        return sum;
    }

    private void blend(double[] sample, double weight) {
        for (int i = 0; i < shares.length; i++) {
            shares[i] += weight * (sample[i] - shares[i]);
        }
    }
}
