package org.citrontide.core.expertmap;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Median of the most recent values of a series, which single outliers don't change. Not thread-safe.
 *
 * <p>Invariant: at most {@link #WINDOW} values are kept.
 */
final class RecentMedian {
    private static final int WINDOW = 5;
    // A single outlier among fewer values may be their median.
    private static final int MIN_VALUES = 3;

    private final Deque<Double> values = new ArrayDeque<>();

    void record(double value) {
        values.addLast(value);
        if (values.size() > WINDOW) {
            values.removeFirst();
        }
    }

    /** Returns whether enough values have been recorded. */
    boolean isKnown() {
        return values.size() >= MIN_VALUES;
    }

    /** Returns the median, the higher of the two middle values if their number is even. */
    double value() {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }
}
