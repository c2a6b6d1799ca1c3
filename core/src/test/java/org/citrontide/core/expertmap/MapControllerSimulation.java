package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.citrontide.core.lease.TermNumber;
import org.citrontide.core.routes.EngineProfile;

/**
 * Runs two controllers, the lease in the store and an unreliable network against a {@link FakeGroup} in virtual time.
 * Not thread-safe.
 */
final class MapControllerSimulation {
    /** End of the time in ms in which faults are injected. */
    static final int FAULT_PERIOD_MS = 25_000;

    /** Longest time in ms after which a rank carries out an order that it left unanswered. */
    static final int MAX_LATE_MS = 12_000;

    private static final int LEASE_MS = 2_000;
    private static final int TICK_MS = 20;
    private static final int SEARCH_STEPS = 20;
    private static final double LINK_MEGABITS_PER_SECOND = 140;
    private static final int LINK_BYTES_PER_MS = 17500;
    private static final int SMALL_ORDER_BYTES = 60;
    private static final int BYTES_PER_EXPERT = 4;
    private static final int MIN_SILENCE_MS = 1_500;
    private static final int MAX_SILENCE_MS = 5_500;
    private static final double HOLD_SILENCE_RATE = 0.25;
    private static final double SILENCE_RATE = 0.004;
    private static final int MIN_LATE_MS = 2_000;
    private static final int MEAN_DISTURBANCE_INTERVAL_MS = 3_000;
    private static final int RENEWAL_INTERVAL_MS = 600;
    private static final long MAX_LOST_REVISIONS = 3;

    /** What happens to the controllers, besides the faults. */
    enum Disturbance {
        /** The configuration changes the engine profile of the service. */
        PROFILE_CHANGE,
        /** The process of the leader is killed, and starts again without memory. */
        LEADER_LOSS,
        /** The store returns from an older copy: the lease is lost, and revisions are given out again. */
        STORE_RETURN
    }

    private final SplittableRandom random;
    private final double lossRate;
    private final boolean hasFaults;
    private final FakeGroup group;
    private final EngineProfile profile;
    private final ControlCosts costs;
    private final List<ControllerProcess> processes;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::sequence));
    private long nextSequence;
    private long nowMs;
    private int leaseHolder = -1;
    private long leaseExpiryMs;
    private int abandonedChanges;
    private int countReads;
    private final List<String> decisions = new ArrayList<>();
    private final Map<Disturbance, Integer> disturbances = new EnumMap<>(Disturbance.class);
    private Set<Disturbance> possibleDisturbances = Set.of();
    private int era = 1;
    private long candidacyMs;
    private long revision;
    private boolean duplicatesOrders;
    private boolean hasSilentRanks;
    private final Map<Integer, Long> silentUntilMs = new HashMap<>();
    private long linkFreeMs;
    private int searchSteps = SEARCH_STEPS;
    private int reportDelayMs;
    private double[] lastSpeeds = new double[0];

    MapControllerSimulation(FakeGroup group, EngineProfile profile, long seed, double lossRate, boolean hasFaults) {
        this(group, profile, seed, lossRate, hasFaults, ControlCosts.NONE);
    }

    MapControllerSimulation(
            FakeGroup group, EngineProfile profile, long seed, double lossRate, boolean hasFaults, ControlCosts costs) {
        this.costs = costs;
        this.group = group;
        this.profile = profile;
        this.processes = List.of(new ControllerProcess(profile, costs), new ControllerProcess(profile, costs));
        this.random = new SplittableRandom(seed);
        this.lossRate = lossRate;
        this.hasFaults = hasFaults;
        processes.forEach(p -> p.controller.handle(new MapEvent.MembersChanged(members()), 0));
    }

    FakeGroup group() {
        return group;
    }

    int abandonedChanges() {
        return abandonedChanges;
    }

    int countReads() {
        return countReads;
    }

    double[] lastSpeeds() {
        return lastSpeeds;
    }

    /** Carries out a third of the orders a second time, later. */
    void duplicateOrders() {
        duplicatesOrders = true;
    }

    /** Lets single ranks leave all orders unanswered for seconds; they carry these out seconds later. */
    void silenceRanks() {
        hasSilentRanks = true;
    }

    /** Lets each of these happen at random during the time of faults, about every three seconds. */
    void disturb(Set<Disturbance> possible) {
        possibleDisturbances = Set.copyOf(possible);
    }

    /** Returns how often each disturbance has happened. */
    Map<Disturbance, Integer> disturbances() {
        return disturbances;
    }

    /** Delays the reports, so that counts which were read later overtake them. */
    void setReportDelayMs(int ms) {
        reportDelayMs = ms;
    }

    /** Sets the maximum number of placement changes of a search. */
    void setSearchSteps(int steps) {
        searchSteps = steps;
    }

    void setTargetGap(Duration gap) {
        processes.forEach(p -> p.controller.handle(new MapEvent.TargetGapChanged(gap), 0));
    }

    void runUntil(long untilMs) {
        for (nowMs++; nowMs <= untilMs; nowMs++) {
            group.advance(nowMs);
            while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                tasks.poll().action().run();
            }
            if (hasFaults && nowMs < FAULT_PERIOD_MS) {
                injectFaults();
            }
            if (nowMs < FAULT_PERIOD_MS) {
                for (Disturbance d : Disturbance.values()) {
                    if (possibleDisturbances.contains(d) && random.nextInt(MEAN_DISTURBANCE_INTERVAL_MS) == 0) {
                        disturbances.merge(d, 1, Integer::sum);
                        carryOut(d);
                    }
                }
            }
            updateLease();
            for (int i = 0; i < processes.size(); i++) {
                if (nowMs % TICK_MS == 0 && nowMs >= processes.get(i).suspendedUntilMs) {
                    deliver(i, new MapEvent.Tick());
                }
            }
        }
    }

    private void injectFaults() {
        if (random.nextInt(6000) == 0) {
            group.crash();
        }
        int p = random.nextInt(processes.size());
        if (random.nextInt(3000) == 0) {
            processes.get(p).suspendedUntilMs = nowMs + random.nextInt(4000);
        }
        if (random.nextInt(4000) == 0) {
            kill(processes.get(p));
        }
    }

    private void carryOut(Disturbance d) {
        switch (d) {
            case PROFILE_CHANGE -> {
                for (int i = 0; i < processes.size(); i++) {
                    deliver(i, new MapEvent.ProfileChanged(profile));
                }
            }
            case LEADER_LOSS -> {
                if (leaseHolder >= 0) {
                    kill(processes.get(leaseHolder));
                }
            }
            case STORE_RETURN -> {
                era++;
                revision -= random.nextLong(Math.min(revision, MAX_LOST_REVISIONS) + 1);
                if (leaseHolder >= 0) {
                    ControllerProcess p = processes.get(leaseHolder);
                    // The holder learns of the loss by its next renewal.
                    p.localLeaseEndMs = Math.min(p.localLeaseEndMs, nowMs + random.nextInt(RENEWAL_INTERVAL_MS));
                    leaseHolder = -1;
                    leaseExpiryMs = 0;
                    candidacyMs = nowMs + LEASE_MS;
                }
            }
            default -> throw new IllegalStateException("unknown disturbance " + d);
        }
    }

    private void kill(ControllerProcess p) {
        p.controller = new GroupMapController(profile, new MapVersionSequence(), costs);
        p.incarnation++;
        p.localLeaseEndMs = -1;
        p.controller.handle(new MapEvent.MembersChanged(members()), nowMs * 1_000_000);
    }

    /** Grants the lease to a running process if it is free. The holder renews it while it runs. */
    private void updateLease() {
        if (nowMs % 500 != 0) {
            return;
        }
        if (leaseHolder >= 0) {
            ControllerProcess p = processes.get(leaseHolder);
            boolean canRenew = nowMs >= p.suspendedUntilMs && p.localLeaseEndMs > nowMs;
            if (canRenew) {
                leaseExpiryMs = nowMs + LEASE_MS;
                p.localLeaseEndMs = nowMs + LEASE_MS - 300;
            }
        }
        if (nowMs >= candidacyMs && (leaseHolder < 0 || nowMs >= leaseExpiryMs)) {
            int next = random.nextInt(processes.size());
            if (nowMs < processes.get(next).suspendedUntilMs) {
                return;
            }
            leaseHolder = next;
            leaseExpiryMs = nowMs + LEASE_MS;
            processes.get(next).localLeaseEndMs = nowMs + LEASE_MS - 300;
            deliver(next, new MapEvent.Elected(TermNumber.of(era, ++revision)));
        }
    }

    private void deliver(int process, MapEvent event) {
        ControllerProcess p = processes.get(process);
        if (p.localLeaseEndMs >= 0 && nowMs >= p.localLeaseEndMs) {
            p.localLeaseEndMs = -1;
            perform(process, p.controller.handle(new MapEvent.Deposed(), nowMs * 1_000_000));
        }
        perform(process, p.controller.handle(event, nowMs * 1_000_000));
    }

    private void perform(int process, List<MapAction> actions) {
        int incarnation = processes.get(process).incarnation;
        for (MapAction a : actions) {
            switch (a) {
                case MapAction.ReadReport r -> {
                    Optional<RankReport> report =
                            isLost() ? Optional.empty() : Optional.of(group.reportOf(rankOf(r.upstream())));
                    scheduleEvent(process, incarnation, new MapEvent.ReportRead(r.upstream(), report));
                }
                case MapAction.ReadCounts r -> {
                    countReads++;
                    Optional<MapEvent.ExpertCounts> counts =
                            isLost() ? Optional.empty() : Optional.of(group.countsOf(rankOf(r.upstream())));
                    scheduleEvent(process, incarnation, new MapEvent.CountsRead(r.upstream(), counts));
                }
                case MapAction.ReadExperts r -> scheduleEvent(process, incarnation, readExperts(r.upstream()));
                case MapAction.ReadPreparedExperts r ->
                    scheduleEvent(
                            process,
                            incarnation,
                            isLost()
                                    ? new MapEvent.PreparedExpertsRead(r.upstream(), 0, Optional.empty())
                                    : group.preparedExpertsOf(rankOf(r.upstream())));
                case MapAction.SearchMap p -> {
                    lastSpeeds = p.loads().getFirst().rankSpeeds();
                    scheduleEvent(process, incarnation, new MapEvent.SearchEnded(p.search(searchSteps)));
                }
                case MapAction.SendOrder s -> send(process, incarnation, s);
                case MapAction.LogEvent n -> recordLog(n);
            }
        }
    }

    private void recordLog(MapAction.LogEvent n) {
        abandonedChanges += n.event().equals("map-change-abandoned") ? 1 : 0;
        if (n.event().equals("map-control")) {
            decisions.add(nowMs + " " + n.detail());
        }
        if (Boolean.getBoolean("sim.log")) {
            System.out.println(nowMs + " " + n.event() + " " + n.detail());
        }
    }

    /** Returns the log texts of the decisions by cost, each with its time in ms. */
    List<String> decisions() {
        return decisions;
    }

    private void send(int process, int incarnation, MapAction.SendOrder s) {
        int rank = rankOf(s.upstream());
        int bytes = sizeOf(s.order());
        OrderTimeouts timeouts = processes.get(process).orderTimeouts;
        long timeoutMs = timeouts.start(bytes).toMillis();
        MapEvent timeout = new MapEvent.OrderEnded(s.upstream(), s.order(), OrderOutcome.UNANSWERED);
        if (isSilent(rank, s.order())) {
            schedule(
                    random.nextInt(MIN_LATE_MS, MAX_LATE_MS),
                    () -> group.handleOrder(rank, s.epoch(), s.order(), nowMs));
            scheduleTimeout(process, incarnation, timeoutMs, timeout, bytes);
            return;
        }
        if (!isLost()) {
            linkFreeMs = Math.max(nowMs, linkFreeMs) + bytes / LINK_BYTES_PER_MS;
            long delayMs = linkFreeMs + 1 - nowMs;
            boolean isInTime = delayMs < timeoutMs;
            schedule(delayMs, () -> {
                OrderOutcome outcome = group.handleOrder(rank, s.epoch(), s.order(), nowMs);
                if (isInTime) {
                    timeouts.end(bytes);
                    scheduleEvent(process, incarnation, new MapEvent.OrderEnded(s.upstream(), s.order(), outcome));
                }
            });
            if (!isInTime) {
                scheduleTimeout(process, incarnation, timeoutMs, timeout, bytes);
            }
            if (duplicatesOrders && random.nextInt(3) == 0) {
                schedule(20 + random.nextInt(300), () -> group.handleOrder(rank, s.epoch(), s.order(), nowMs));
            }
            return;
        }
        switch (random.nextInt(3)) {
            case 0 -> schedule(1, () -> group.handleOrder(rank, s.epoch(), s.order(), nowMs));
            case 1 ->
                schedule(2000 + random.nextInt(10_000), () -> group.handleOrder(rank, s.epoch(), s.order(), nowMs));
            default -> {
                // The order is lost.
            }
        }
        scheduleTimeout(process, incarnation, timeoutMs, timeout, bytes);
    }

    /** Returns whether a rank leaves an order unanswered. Ranks fall silent most often when they are to hold a pass. */
    private boolean isSilent(int rank, RankOrder order) {
        if (!hasSilentRanks || nowMs >= FAULT_PERIOD_MS) {
            return false;
        }
        double rate = order instanceof RankOrder.Hold ? HOLD_SILENCE_RATE : SILENCE_RATE;
        if (nowMs >= silentUntilMs.getOrDefault(rank, 0L) && random.nextDouble() < rate) {
            silentUntilMs.put(rank, nowMs + random.nextInt(MIN_SILENCE_MS, MAX_SILENCE_MS));
        }
        return nowMs < silentUntilMs.getOrDefault(rank, 0L);
    }

    private void scheduleTimeout(int process, int incarnation, long timeoutMs, MapEvent timeout, int bytes) {
        OrderTimeouts timeouts = processes.get(process).orderTimeouts;
        schedule(timeoutMs, () -> {
            timeouts.end(bytes);
            scheduleEvent(process, incarnation, timeout);
        });
    }

    private static int sizeOf(RankOrder order) {
        if (!(order instanceof RankOrder.Prepare p)) {
            return SMALL_ORDER_BYTES;
        }
        int experts = p.map().sets().stream()
                .flatMap(set -> Arrays.stream(set.experts()))
                .mapToInt(rank -> rank.length)
                .sum();
        return SMALL_ORDER_BYTES + experts * BYTES_PER_EXPERT;
    }

    /** Schedules an event for a process, to be delivered once it runs, unless it has been killed meanwhile. */
    private void scheduleEvent(int process, int incarnation, MapEvent event) {
        ControllerProcess p = processes.get(process);
        long delayMs = event instanceof MapEvent.ReportRead ? 1 + reportDelayMs : 1;
        long atMs = Math.max(nowMs + delayMs, p.suspendedUntilMs);
        tasks.add(new ScheduledTask(atMs, nextSequence++, () -> {
            if (nowMs < p.suspendedUntilMs) {
                scheduleEvent(process, incarnation, event);
            } else if (p.incarnation == incarnation) {
                deliver(process, event);
            }
        }));
    }

    private void schedule(long ms, Runnable action) {
        tasks.add(new ScheduledTask(nowMs + ms, nextSequence++, action));
    }

    private MapEvent readExperts(String upstream) {
        return isLost() ? new MapEvent.ExpertsRead(upstream, 0, Optional.empty()) : group.expertsOf(rankOf(upstream));
    }

    private boolean isLost() {
        return nowMs < FAULT_PERIOD_MS && random.nextDouble() < lossRate;
    }

    private static int rankOf(String upstream) {
        return Integer.parseInt(upstream.substring("rank".length()));
    }

    private List<String> members() {
        List<String> members = new ArrayList<>();
        for (int r = 0; r < group.size(); r++) {
            members.add("rank" + r);
        }
        return members;
    }

    /** A task that is due at a virtual time. */
    private record ScheduledTask(long atMs, long sequence, Runnable action) {}

    /** A process that runs a controller. */
    private static final class ControllerProcess {
        private final OrderTimeouts orderTimeouts = new OrderTimeouts(LINK_MEGABITS_PER_SECOND);
        private GroupMapController controller;
        private long suspendedUntilMs;
        private long localLeaseEndMs = -1;
        private int incarnation;

        private ControllerProcess(EngineProfile profile, ControlCosts costs) {
            controller = new GroupMapController(profile, new MapVersionSequence(), costs);
        }
    }
}
