package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;

/**
 * The handling of one event: its time and the actions that follow from it. Not thread-safe.
 *
 * @param nowNanos monotonic time in ns
 * @param actions actions so far, in order
 */
record Turn(long nowNanos, List<MapAction> actions) {
    Turn(long nowNanos) {
        this(nowNanos, new ArrayList<>());
    }

    void add(MapAction action) {
        actions.add(action);
    }

    void note(String event, String detail) {
        add(new MapAction.Note(event, detail));
    }
}
