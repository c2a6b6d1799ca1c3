package org.citrontide.gateway.store;

import java.util.Comparator;

/**
 * A state of the store: its revision, which is comparable only within one era. Immutable.
 *
 * <p>The store begins a new era when it returns from an older copy of itself. It then gives revisions out again.
 *
 * @param era number of the era, 0 if the store names none
 * @param revision revision of the store in this era
 */
record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }
}
