package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;

import org.citrontide.core.routes.EngineProfile;

/**
 * Runs the controller of a service against several {@link FakeGroup}s in virtual time, over a network that loses calls
 * and carries out some orders late. Not thread-safe.
 */
final class ServiceMapSimulation {
    private static final int TICK_MS = 20;
    private static final int SEARCH_STEPS = 20;
    private static final int CALL_MS = 2;
    private static final int TIMEOUT_MS = 250;
    private static final int MAX_LATE_MS = 5_000;

    /** A task that is due at a virtual time. */
    private record ScheduledTask(long atMs, long sequence, Runnable action) {}

    private final List<FakeGroup> groups;
    private final ServiceMapController controller;
    private final SplittableRandom random;
    private final double lossRate;
    private final TreeSet<String> unreachable = new TreeSet<>();
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::sequence));
    private final List<Long> versions = new ArrayList<>();
    private long nextSequence;
    private long nowMs;

    ServiceMapSimulation(List<FakeGroup> groups, EngineProfile profile, long seed, double lossRate) {
        this(groups, profile, seed, lossRate, ControlCosts.NONE);
    }

    ServiceMapSimulation(
            List<FakeGroup> groups, EngineProfile profile, long seed, double lossRate, ControlCosts costs) {
        this.groups = groups;
        this.controller = new ServiceMapController(profile, costs);
        this.random = new SplittableRandom(seed);
        this.lossRate = lossRate;
        handle(new MapEvent.MembersChanged(members()));
        handle(new MapEvent.Elected(1));
    }

    /** Returns the versions of all maps that were searched for, in order. */
    List<Long> versions() {
        return versions;
    }

    ServiceMapController controller() {
        return controller;
    }

    /** Changes the engine profile in the middle of a term, as a new configuration does. */
    void changeProfile(EngineProfile profile) {
        handle(new MapEvent.ProfileChanged(profile));
    }

    /** Makes an upstream unreachable, so that calls to it time out. */
    void cutOff(String upstream) {
        unreachable.add(upstream);
    }

    void handle(MapEvent event) {
        perform(controller.handle(event, nanos()));
    }

    void runUntil(long untilMs) {
        for (nowMs++; nowMs <= untilMs; nowMs++) {
            groups.forEach(g -> g.advance(nowMs));
            while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                tasks.poll().action().run();
            }
            if (nowMs % TICK_MS == 0) {
                handle(new MapEvent.Tick());
            }
        }
    }

    private long nanos() {
        return nowMs * 1_000_000;
    }

    private void perform(List<ServiceMapController.GroupAction> actions) {
        for (ServiceMapController.GroupAction a : actions) {
            perform(a.group(), a.action());
        }
    }

    private void perform(String group, MapAction action) {
        switch (action) {
            case MapAction.ReadReport r ->
                call(
                        group,
                        r.upstream(),
                        new MapEvent.ReportRead(r.upstream(), Optional.empty()),
                        g -> new MapEvent.ReportRead(r.upstream(), Optional.of(g.reportOf(rankOf(r.upstream())))));
            case MapAction.ReadCounts r ->
                call(
                        group,
                        r.upstream(),
                        new MapEvent.CountsRead(r.upstream(), Optional.empty()),
                        g -> new MapEvent.CountsRead(r.upstream(), Optional.of(g.countsOf(rankOf(r.upstream())))));
            case MapAction.ReadExperts r ->
                call(
                        group,
                        r.upstream(),
                        new MapEvent.ExpertsRead(r.upstream(), 0, Optional.empty()),
                        g -> expertsOf(g, r.upstream()));
            case MapAction.ReadPreparedExperts r ->
                call(
                        group,
                        r.upstream(),
                        new MapEvent.PreparedExpertsRead(r.upstream(), 0, Optional.empty()),
                        g -> preparedExpertsOf(g, r.upstream()));
            case MapAction.SendOrder s -> {
                if (random.nextDouble() < lossRate / 2) {
                    schedule(
                            1_000 + random.nextInt(MAX_LATE_MS),
                            () -> groupOf(s.upstream()).handleOrder(rankOf(s.upstream()), s.epoch(), s.order(), nowMs));
                }
                call(
                        group,
                        s.upstream(),
                        new MapEvent.OrderEnded(s.upstream(), s.order(), OrderOutcome.UNANSWERED),
                        g -> new MapEvent.OrderEnded(
                                s.upstream(),
                                s.order(),
                                g.handleOrder(rankOf(s.upstream()), s.epoch(), s.order(), nowMs)));
            }
            case MapAction.SearchMap p -> {
                versions.add(p.version());
                GroupMap found = p.search(SEARCH_STEPS);
                schedule(CALL_MS, () -> handleResult(group, new MapEvent.SearchEnded(found)));
            }
            case MapAction.LogEvent n -> {
                // Logs change nothing.
            }
        }
    }

    /** Calls an upstream; a lost call ends with the given failure after the timeout. */
    private void call(String group, String upstream, MapEvent failure, Function<FakeGroup, MapEvent> upstreamCall) {
        if (unreachable.contains(upstream) || random.nextDouble() < lossRate) {
            schedule(TIMEOUT_MS, () -> handleResult(group, failure));
            return;
        }
        schedule(1, () -> {
            MapEvent result = upstreamCall.apply(groupOf(upstream));
            schedule(1, () -> handleResult(group, result));
        });
    }

    private static MapEvent expertsOf(FakeGroup g, String upstream) {
        MapEvent.ExpertsRead read = g.expertsOf(rankOf(upstream));
        return new MapEvent.ExpertsRead(upstream, read.version(), read.experts());
    }

    private static MapEvent preparedExpertsOf(FakeGroup g, String upstream) {
        MapEvent.PreparedExpertsRead read = g.preparedExpertsOf(rankOf(upstream));
        return new MapEvent.PreparedExpertsRead(upstream, read.version(), read.experts());
    }

    private void handleResult(String group, MapEvent event) {
        perform(controller.handleResult(group, event, nanos()));
    }

    private void schedule(long delayMs, Runnable action) {
        tasks.add(new ScheduledTask(nowMs + delayMs, nextSequence++, action));
    }

    private FakeGroup groupOf(String upstream) {
        return groups.get(Integer.parseInt(upstream.substring(0, upstream.indexOf('-'))));
    }

    private static int rankOf(String upstream) {
        return Integer.parseInt(upstream.substring(upstream.indexOf('-') + 1));
    }

    private List<String> members() {
        List<String> members = new ArrayList<>();
        for (int g = 0; g < groups.size(); g++) {
            for (int r = 0; r < groups.get(g).size(); r++) {
                members.add(g + "-" + r);
            }
        }
        return members;
    }
}
