package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records which group each upstream of a service belongs to, according to the reports of the upstreams.
 *
 * <p>Invariants: an upstream belongs to at most one group, the one that its latest report names; only upstreams without
 * a known group are to be read, and each has at most one read in flight. Not thread-safe.
 */
final class GroupDirectory {
    // A starting upstream joins its group within about a second.
    private static final Duration READ_INTERVAL = Duration.ofMillis(250);

    private final Map<String, String> groupByUpstream = new HashMap<>();
    private final Set<String> pendingReads = new HashSet<>();
    private List<String> upstreams = List.of();
    private long nextReadNanos;
    private boolean hasRead;

    /** Replaces the list of upstreams and forgets the groups of those that are no longer listed. */
    void setUpstreams(List<String> newUpstreams) {
        upstreams = List.copyOf(newUpstreams);
        groupByUpstream.keySet().retainAll(upstreams);
        pendingReads.retainAll(upstreams);
    }

    /** Returns the upstreams whose reports are to be read now because their group is unknown. */
    List<String> takeDueReads(long nowNanos) {
        if (hasRead && nowNanos < nextReadNanos) {
            return List.of();
        }
        List<String> due = upstreams.stream()
                .filter(u -> !groupByUpstream.containsKey(u) && pendingReads.add(u))
                .toList();
        if (!due.isEmpty()) {
            hasRead = true;
            nextReadNanos = nowNanos + READ_INTERVAL.toNanos();
        }
        return due;
    }

    /** Records the end of a read that {@link #takeDueReads} requested. */
    void recordReadEnd(String upstream) {
        pendingReads.remove(upstream);
    }

    /** Returns whether no requested read is in flight: groups found so far have all the members that responded. */
    boolean isSettled() {
        return pendingReads.isEmpty();
    }

    /** Records the group that a report names; returns whether the upstream belonged to another one or to none. */
    boolean recordGroup(String upstream, String group) {
        return upstreams.contains(upstream) && !group.equals(groupByUpstream.put(upstream, group));
    }

    /** Returns the upstreams of each group in the order of the list. */
    Map<String, List<String>> groups() {
        Map<String, List<String>> groups = new TreeMap<>();
        for (String u : upstreams) {
            String group = groupByUpstream.get(u);
            if (group != null) {
                groups.computeIfAbsent(group, g -> new ArrayList<>()).add(u);
            }
        }
        return groups;
    }
}
