package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.routes.ListedUpstream;

/**
 * Decides which groups of a service receive no requests because they have lost a member, while other groups serve.
 *
 * <p>Handles a service with several groups one of which breaks under load: all of its members stall together and then
 * reject what they have not begun. Its requests go to the other groups at once, instead of learning the same from each
 * member, and a report tells when the group is open again, so that no request has to find out.
 *
 * <p>Invariants: a group is left out only while another group of its service is not; upstreams whose group is unknown
 * are never left out. Not thread-safe: confined to the dispatcher's thread.
 */
final class GroupHealth {
    // A report shows the state of its engine as of some hundred milliseconds ago.
    private static final Duration REPORT_LAG = Duration.ofMillis(400);
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(300);
    // Several passes end within this time, and each one sends an event of every stream.
    private static final Duration STALL_TIME = Duration.ofMillis(500);
    // If no report can be read for this long, requests find out whether the group is open.
    private static final Duration MAX_UNCONFIRMED = Duration.ofSeconds(5);

    /** A group that is down. */
    private static final class Outage {
        private long rejectedNanos;
        private long nextQueryNanos;
        private int queries;
    }

    private final List<GatewayAction> changes = new ArrayList<>();
    private final Map<String, String> groupByUpstream = new HashMap<>();
    private final Map<String, Outage> outages = new HashMap<>();

    /** Replaces the known groups; the names of groups are unique among all services. */
    void setGroups(Map<String, String> groups) {
        groupByUpstream.clear();
        groupByUpstream.putAll(groups);
        outages.keySet().retainAll(groupByUpstream.values());
    }

    /** Returns whether another member of an upstream's group, or an upstream of an unknown group, is responding. */
    boolean isGroupActive(UpstreamState member, List<UpstreamState> upstreams, long nowNanos) {
        return upstreams.stream()
                .anyMatch(u -> u != member && !areOfDifferentGroups(u, member) && u.isActive(nowNanos));
    }

    /** Returns whether two upstreams are known to belong to different groups. */
    private boolean areOfDifferentGroups(UpstreamState a, UpstreamState b) {
        Optional<String> group = groupOf(a);
        return group.isPresent() && groupOf(b).isPresent() && !group.equals(groupOf(b));
    }

    /** Records that a member rejected a request because its group has lost a member. */
    void recordRejection(UpstreamState member, long nowNanos) {
        groupOf(member).ifPresent(group -> {
            if (!outages.containsKey(group)) {
                outages.put(group, new Outage());
                changes.add(new GatewayAction.ReportGroupAvailability(group, false));
            }
            outages.get(group).rejectedNanos = nowNanos;
        });
    }

    /** Records a response to an attempt that was sent at the given time. */
    void recordResponse(UpstreamState member, long sentNanos) {
        groupOf(member).ifPresent(group -> {
            Outage outage = outages.get(group);
            if (outage != null && sentNanos > outage.rejectedNanos) {
                endOutage(group);
            }
        });
    }

    /** Records a report that was read at the given time. */
    void recordReport(UpstreamState member, boolean isOpen, long nowNanos) {
        groupOf(member).ifPresent(group -> {
            Outage outage = outages.get(group);
            if (outage != null && isOpen && nowNanos - outage.rejectedNanos > REPORT_LAG.toNanos()) {
                endOutage(group);
            }
        });
    }

    /**
     * Returns the upstreams without those of groups that are down or stalled, or all if none would remain.
     *
     * @param upstreams the upstreams to choose from
     * @param all all upstreams of the service: the streams of members that get no requests also show whether a group is
     *     stalled
     */
    List<UpstreamState> selectable(List<UpstreamState> upstreams, List<UpstreamState> all, long nowNanos) {
        Set<String> avoided = avoidedGroups(all, nowNanos);
        if (avoided.isEmpty()) {
            return upstreams;
        }
        List<UpstreamState> remaining = upstreams.stream()
                .filter(u -> groupOf(u).filter(avoided::contains).isEmpty())
                .toList();
        return remaining.stream().anyMatch(u -> u.isAccepting(nowNanos)) ? remaining : upstreams;
    }

    /**
     * Returns whether another group of a service than that of an upstream takes requests.
     *
     * @param upstreams the upstreams to choose from
     * @param all all upstreams of the service
     */
    boolean hasOtherGroup(UpstreamState member, List<UpstreamState> upstreams, List<UpstreamState> all, long nowNanos) {
        Set<String> avoided = avoidedGroups(all, nowNanos);
        return upstreams.stream()
                .anyMatch(u -> areOfDifferentGroups(u, member)
                        && !avoided.contains(groupOf(u).orElseThrow())
                        && u.isAccepting(nowNanos));
    }

    /** Returns the changes to report and the reports to read now: that of one member of each group that is down. */
    List<GatewayAction> tick(UpstreamRegistry registry, long nowNanos) {
        for (String group : List.copyOf(outages.keySet())) {
            if (nowNanos - outages.get(group).rejectedNanos > MAX_UNCONFIRMED.toNanos()) {
                endOutage(group);
            }
        }
        List<GatewayAction> actions = new ArrayList<>(changes);
        changes.clear();
        List<ListedUpstream> due = findDueQueries(registry, nowNanos);
        if (!due.isEmpty()) {
            actions.add(new GatewayAction.QuerySpeeds(due));
        }
        return actions;
    }

    private List<ListedUpstream> findDueQueries(UpstreamRegistry registry, long nowNanos) {
        List<ListedUpstream> due = new ArrayList<>();
        outages.forEach((group, outage) -> {
            if (nowNanos < outage.nextQueryNanos) {
                return;
            }
            outage.nextQueryNanos = nowNanos + QUERY_INTERVAL.toNanos();
            List<UpstreamState> members = groupByUpstream.entrySet().stream()
                    .filter(e -> e.getValue().equals(group))
                    .flatMap(e -> registry.find(e.getKey()).stream())
                    .filter(u -> !u.isBackedOff(nowNanos))
                    .toList();
            if (!members.isEmpty()) {
                due.add(members.get(outage.queries++ % members.size()).entry());
            }
        });
        return due;
    }

    private void endOutage(String group) {
        outages.remove(group);
        changes.add(new GatewayAction.ReportGroupAvailability(group, true));
    }

    private Optional<String> groupOf(UpstreamState upstream) {
        return Optional.ofNullable(groupByUpstream.get(upstream.entry().id()));
    }

    /** Returns the groups that are down, or whose streams have all been silent for too long. */
    private Set<String> avoidedGroups(List<UpstreamState> upstreams, long nowNanos) {
        Set<String> avoided = new HashSet<>();
        Map<String, Long> lastProgress = new HashMap<>();
        Set<String> streaming = new HashSet<>();
        for (UpstreamState u : upstreams) {
            String group = groupByUpstream.get(u.entry().id());
            if (group == null) {
                continue;
            }
            lastProgress.merge(group, u.lastProgressNanos(), Math::max);
            if (u.hasStartedStreams()) {
                streaming.add(group);
            }
            if (outages.containsKey(group)) {
                avoided.add(group);
            }
        }
        if (lastProgress.size() < 2) {
            return Set.of();
        }
        streaming.stream()
                .filter(g -> nowNanos - lastProgress.get(g) > STALL_TIME.toNanos())
                .forEach(avoided::add);
        return avoided;
    }
}
