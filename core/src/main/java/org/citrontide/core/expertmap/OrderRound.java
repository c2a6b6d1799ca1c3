package org.citrontide.core.expertmap;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks one order to several ranks, which is retried on each rank until it is carried out. Not thread-safe.
 *
 * <p>Invariant: a rank is pending until its order is completed; only pending ranks are retried.
 */
final class OrderRound {
    private final Set<String> pending = new HashSet<>();
    private final Set<String> retries = new HashSet<>();

    void start(Collection<String> targets) {
        clear();
        pending.addAll(targets);
    }

    void clear() {
        pending.clear();
        retries.clear();
    }

    /** Schedules a retry for a rank, unless its order is already completed. */
    void retry(String id) {
        if (pending.contains(id)) {
            retries.add(id);
        }
    }

    void complete(String id) {
        pending.remove(id);
        retries.remove(id);
    }

    boolean isPending(String id) {
        return pending.contains(id);
    }

    boolean isComplete() {
        return pending.isEmpty();
    }

    List<String> pending() {
        return List.copyOf(pending);
    }

    /** Returns the ranks to retry now and clears them. */
    List<String> takeRetries() {
        List<String> list = List.copyOf(retries);
        retries.clear();
        return list;
    }
}
