package org.citrontide.core.expertmap;

import java.util.Comparator;

/**
 * Identifier of a proposed expert map of a group. Unique, because a fencing token belongs to one controller. Immutable.
 *
 * @param fencingToken fencing token of the controller's lease
 * @param number number of the proposal under that lease
 */
public record MapId(long fencingToken, int number) implements Comparable<MapId> {
    /** Identifier of the map that a group starts with. */
    public static final MapId INITIAL = new MapId(0, 0);

    private static final Comparator<MapId> ORDER =
            Comparator.comparingLong(MapId::fencingToken).thenComparingInt(MapId::number);

    @Override
    public int compareTo(MapId other) {
        return ORDER.compare(this, other);
    }
}
