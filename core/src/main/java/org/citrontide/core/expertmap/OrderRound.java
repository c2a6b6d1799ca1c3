package org.citrontide.core.expertmap;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One order to several ranks, repeated to each until it is carried out. Not thread-safe.
 *
 * <p>Invariant: a rank is open until its order is done; only open ranks are asked again.
 */
final class OrderRound {
    private final Set<String> open = new HashSet<>();
    private final Set<String> again = new HashSet<>();

    void start(Collection<String> targets) {
        clear();
        open.addAll(targets);
    }

    void clear() {
        open.clear();
        again.clear();
    }

    /** Notes that a rank must be asked again. */
    void repeat(String id) {
        if (open.contains(id)) {
            again.add(id);
        }
    }

    void done(String id) {
        open.remove(id);
        again.remove(id);
    }

    boolean isOpen(String id) {
        return open.contains(id);
    }

    boolean isDone() {
        return open.isEmpty();
    }

    List<String> open() {
        return List.copyOf(open);
    }

    /** Returns the ranks to ask again now. */
    List<String> takeRepeats() {
        List<String> list = List.copyOf(again);
        again.clear();
        return list;
    }
}
