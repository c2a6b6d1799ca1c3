package org.citrontide.core.costing;

/**
 * A distribution of costs in logarithmic buckets, in which recent samples have more weight.
 *
 * <p>Handles heavy tails and bimodal costs: a request that has already cost a lot is expected to cost more than a new
 * one. The unit is the caller's. Constant size; recording and reading take constant time but for a periodic pass over
 * the buckets. Not thread-safe.
 */
public final class CostDistribution {
    // Four buckets for each doubling: a bucket is at most 25% wide, less than the difference between routes matters.
    private static final int SUB_BUCKET_BITS = 2;
    private static final int MANTISSA_BITS = 52;
    // Covers 1/64 to 2^20, which is a ratio of observed to announced lengths as well as a duration in ms.
    private static final int MIN_EXPONENT = -6;
    private static final int DOUBLINGS = 26;
    private static final int BUCKETS = DOUBLINGS << SUB_BUCKET_BITS;
    private static final long FIRST_KEY =
            Double.doubleToRawLongBits(Math.scalb(1.0, MIN_EXPONENT)) >>> MANTISSA_BITS - SUB_BUCKET_BITS;
    // The distribution covers about the last 500 samples: some seconds of a busy route, and enough for its tail.
    private static final double GROWTH = 1 + 1 / 500.0;
    private static final double MAX_WEIGHT = 1e9;
    private static final int UPDATE_INTERVAL = 16;
    // What has exceeded all that was observed is expected to last for this fraction of its cost so far.
    private static final double OUTLIER_FRACTION = 0.25;

    private final double[] weights = new double[BUCKETS];
    private final double[] sums = new double[BUCKETS];
    private final double[] tailMeans = new double[BUCKETS];
    private double nextWeight = 1;
    private long samples;
    private long lastNanos;

    /**
     * Records a cost.
     *
     * @param cost the cost, not negative
     * @param nowNanos monotonic time in ns
     */
    public void record(double cost, long nowNanos) {
        int bucket = bucket(cost);
        weights[bucket] += nextWeight;
        sums[bucket] += nextWeight * cost;
        nextWeight *= GROWTH;
        samples++;
        lastNanos = nowNanos;
        if (nextWeight > MAX_WEIGHT) {
            rescale();
        }
        if (samples < UPDATE_INTERVAL || samples % UPDATE_INTERVAL == 0) {
            updateTails();
        }
    }

    /**
     * Returns the number of samples.
     *
     * @return number of recorded costs
     */
    public long samples() {
        return samples;
    }

    /**
     * Returns the age of the last sample.
     *
     * @param nowNanos monotonic time in ns
     * @return age in ns, undefined without samples
     */
    public long ageNanos(long nowNanos) {
        return nowNanos - lastNanos;
    }

    /**
     * Returns the mean.
     *
     * @return mean cost, 0 without samples
     */
    public double mean() {
        return tailMeans[0];
    }

    /**
     * Returns a quantile.
     *
     * @param fraction fraction of the samples, 0 to 1
     * @return mean of the bucket that holds the quantile, 0 without samples
     */
    public double quantile(double fraction) {
        double total = 0;
        for (double w : weights) {
            total += w;
        }
        double left = fraction * total;
        double value = 0;
        for (int i = 0; i < BUCKETS && (left > 0 || value == 0); i++) {
            if (weights[i] > 0) {
                value = sums[i] / weights[i];
                left -= weights[i];
            }
        }
        return value;
    }

    /**
     * Returns what is left of a cost of which a part has already been spent.
     *
     * @param spent the cost so far
     * @return expected cost beyond that, positive if there are samples
     */
    public double meanLeft(double spent) {
        double tailMean = tailMeans[bucket(spent)];
        return Math.max(tailMean - spent, OUTLIER_FRACTION * spent);
    }

    private void rescale() {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] /= nextWeight;
            sums[i] /= nextWeight;
        }
        nextWeight = 1;
    }

    /** Recomputes the mean of all costs from each bucket on. */
    private void updateTails() {
        double weight = 0;
        double sum = 0;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            weight += weights[i];
            sum += sums[i];
            tailMeans[i] = weight > 0 ? sum / weight : 0;
        }
    }

    private static int bucket(double cost) {
        long key = (Double.doubleToRawLongBits(cost) >>> MANTISSA_BITS - SUB_BUCKET_BITS) - FIRST_KEY;
        return Math.clamp(key, 0, BUCKETS - 1);
    }
}
