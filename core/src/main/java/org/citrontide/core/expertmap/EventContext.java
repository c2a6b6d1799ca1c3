package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;

/**
 * The time of one event and the actions that handling it has produced so far. Not thread-safe.
 *
 * @param nowNanos monotonic time in ns
 * @param actions actions so far, in order
 */
record EventContext(long nowNanos, List<MapAction> actions) {
    EventContext(long nowNanos) {
        this(nowNanos, new ArrayList<>());
    }

    void add(MapAction action) {
        actions.add(action);
    }

    void log(String event, String detail) {
        add(new MapAction.LogEvent(event, detail));
    }
}
