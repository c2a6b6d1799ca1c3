package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.citrontide.core.routes.EngineProfile;

/**
 * Adapts the expert maps of all groups of one service while this process is the elected leader.
 *
 * <p>Each group has a {@link GroupMapController} of its own, so that a broken or held group delays no other. Groups are
 * discovered from the reports of the upstreams.
 *
 * <p>Invariants: a controller handles only reports of its own group; results of an action reach the controller that
 * requested it; a controller that may hold its group is kept until it has released it; a version of a map is used once
 * in a term; what is known of orders that may still be carried out outlasts a change of the engine profile.
 *
 * <p>Not thread-safe: confined to one thread. It does no I/O and reads no clock.
 */
public final class ServiceMapController {
    /** Name under which the service itself requests actions, to discover the groups of its upstreams. */
    public static final String DISCOVERY = "";

    // Reads of reports time out earlier; without a bound, upstreams that fail one after the other delay all groups.
    private static final Duration MAX_ASSIGNMENT_DELAY = Duration.ofMillis(300);

    private EngineProfile profile;
    private final ControlCosts costs;
    private final MapVersionSequence versions = new MapVersionSequence();
    private final GroupDirectory directory = new GroupDirectory();
    private final Map<String, GroupMapController> controllers = new TreeMap<>();
    private Optional<Long> term = Optional.empty();
    private Duration targetGap = Duration.ZERO;
    private OptionalLong assignmentDueNanos = OptionalLong.empty();

    /**
     * An action that is requested for one group.
     *
     * @param group name of the group, {@link #DISCOVERY} if the group is still to be found out
     * @param action the action
     */
    public record GroupAction(String group, MapAction action) {}

    /**
     * Creates a controller for a service whose groups are unknown.
     *
     * @param profile sizes and speeds of the engines of the service
     * @param costs prices of reads, orders and copies
     */
    public ServiceMapController(EngineProfile profile, ControlCosts costs) {
        this.profile = profile;
        this.costs = costs;
    }

    /**
     * Handles an event that concerns the whole service: a term, the configuration, the list of upstreams or a tick.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return the actions for the shell, in order
     */
    public List<GroupAction> handle(MapEvent event, long nowNanos) {
        List<GroupAction> actions = new ArrayList<>();
        switch (event) {
            case MapEvent.Elected e -> term = Optional.of(e.term());
            case MapEvent.Deposed d -> term = Optional.empty();
            case MapEvent.TargetGapChanged t -> targetGap = t.targetGap();
            case MapEvent.ProfileChanged p -> profile = p.profile();
            case MapEvent.MembersChanged m -> {
                directory.setUpstreams(m.upstreams());
                requestAssignment(nowNanos);
                assignMembers(nowNanos, actions);
                return actions;
            }
            default -> {
                // A tick, or a result of an action, which changes nothing here.
            }
        }
        assignMembers(nowNanos, actions);
        controllers.forEach((group, c) -> add(group, c.handle(event, nowNanos), actions));
        if (term.isPresent()) {
            directory
                    .takeDueReads(nowNanos)
                    .forEach(u -> actions.add(new GroupAction(DISCOVERY, new MapAction.ReadReport(u))));
        }
        return actions;
    }

    /**
     * Handles the result of an action.
     *
     * @param group group for which the action was requested
     * @param event the result
     * @param nowNanos monotonic time in ns
     * @return the actions for the shell, in order
     */
    public List<GroupAction> handleResult(String group, MapEvent event, long nowNanos) {
        List<GroupAction> actions = new ArrayList<>();
        MapEvent ownEvent = event;
        if (event instanceof MapEvent.ReportRead read) {
            if (group.equals(DISCOVERY)) {
                directory.recordReadEnd(read.upstream());
            }
            if (read.report().isPresent()
                    && directory.recordGroup(
                            read.upstream(), read.report().get().group())) {
                requestAssignment(nowNanos);
            }
            ownEvent = new MapEvent.ReportRead(
                    read.upstream(), read.report().filter(r -> r.group().equals(group)));
        }
        GroupMapController controller = controllers.get(group);
        if (controller != null) {
            add(group, controller.handle(ownEvent, nowNanos), actions);
        }
        assignMembers(nowNanos, actions);
        return actions;
    }

    /**
     * Returns whether a change in progress holds a group or may hold it.
     *
     * @return true if the process should not exit yet
     */
    public boolean isHolding() {
        return controllers.values().stream().anyMatch(GroupMapController::isHolding);
    }

    /**
     * Returns the upstreams of each known group.
     *
     * @return identities of the upstreams by the name of the group
     */
    public Map<String, List<String>> groups() {
        return directory.groups();
    }

    private void requestAssignment(long nowNanos) {
        assignmentDueNanos = OptionalLong.of(assignmentDueNanos.orElse(nowNanos));
    }

    /** Tells each controller its members, once the requested reports have been read or take too long. */
    private void assignMembers(long nowNanos, List<GroupAction> actions) {
        boolean isOverdue = assignmentDueNanos.isPresent()
                && nowNanos - assignmentDueNanos.getAsLong() >= MAX_ASSIGNMENT_DELAY.toNanos();
        if (assignmentDueNanos.isEmpty() || !directory.isSettled() && !isOverdue) {
            return;
        }
        assignmentDueNanos = OptionalLong.empty();
        Map<String, List<String>> groups = directory.groups();
        groups.keySet().stream()
                .filter(g -> !controllers.containsKey(g))
                .toList()
                .forEach(g -> addController(g, nowNanos, actions));
        controllers
                .entrySet()
                .removeIf(c -> !groups.containsKey(c.getKey()) && !c.getValue().isHolding());
        controllers.forEach((group, c) -> {
            MapEvent members = new MapEvent.MembersChanged(groups.getOrDefault(group, List.of()));
            add(group, c.handle(members, nowNanos), actions);
        });
    }

    private void addController(String group, long nowNanos, List<GroupAction> actions) {
        GroupMapController c = new GroupMapController(profile, versions, costs);
        controllers.put(group, c);
        add(group, c.handle(new MapEvent.TargetGapChanged(targetGap), nowNanos), actions);
        term.ifPresent(t -> add(group, c.handle(new MapEvent.Elected(t), nowNanos), actions));
    }

    private static void add(String group, List<MapAction> from, List<GroupAction> to) {
        from.forEach(a -> to.add(new GroupAction(group, a)));
    }
}
