package org.citrontide.core.locality;

import java.util.Set;
import java.util.TreeSet;

/**
 * Determines which zones were evacuated and which were put back into service, from the sets that the store holds one
 * after the other.
 *
 * <p>Handles any number of zones that change at once. The upstreams of a zone that was put back have had no requests
 * for some time. Not thread-safe.
 */
public final class EvacuationTracker {
    private Set<String> current = Set.of();

    /**
     * The difference between two sets of evacuated zones. Immutable.
     *
     * @param evacuated zones that get no requests any more
     * @param returned zones that were put back into service
     */
    public record Change(Set<String> evacuated, Set<String> returned) {

        /** Copies the sets. */
        public Change {
            evacuated = Set.copyOf(evacuated);
            returned = Set.copyOf(returned);
        }

        /**
         * Returns whether both sets are equal.
         *
         * @return true if nothing changed
         */
        public boolean isEmpty() {
            return evacuated.isEmpty() && returned.isEmpty();
        }
    }

    /**
     * Replaces the set of evacuated zones.
     *
     * @param zones names of all evacuated zones
     * @return the difference from the previous set
     */
    public Change replace(Set<String> zones) {
        Change change = new Change(subtract(zones, current), subtract(current, zones));
        current = Set.copyOf(zones);
        return change;
    }

    private static Set<String> subtract(Set<String> all, Set<String> excluded) {
        Set<String> remaining = new TreeSet<>(all);
        remaining.removeAll(excluded);
        return remaining;
    }
}
