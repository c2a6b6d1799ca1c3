package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Simulates gateways and upstreams in virtual time while some prompts, or chance, crash upstreams. In a group, the
 * crash of one member stalls all others until it has been replaced.
 */
final class CrashingPromptSimulation {
    static final String CRASHING_PART = "crashing";
    private static final long MS = 1_000_000;
    private static final int RANKS = 16;
    private static final int SLOTS = 8;
    private static final int SUBJECTS = 180;
    private static final String COMMON_SUBJECT = "subject-0";
    private static final double SOUND_PER_MS = 0.052;
    private static final int FIRST_EVENT_MS = 180;
    private static final int EVENT_MS = 50;
    private static final int RESPONSE_MS = 1_200;
    private static final int STALL_MS = 1_500;
    private static final int DOWN_MS = 4_000;
    private static final int TIMEOUT_MS = 8_000;
    private static final int CALLER_PATIENCE_MS = 2_000;
    private static final int ROUND_TRIP_MS = 2;
    private static final int MAX_STORE_DELAY_MS = 900;
    private static final int PEER_DELAY_MS = 800;

    /**
     * What a simulation plays.
     *
     * @param gateways number of gateways
     * @param groups number of groups that the upstreams form, 0 if each works on its own
     * @param isStoreReachable whether gateways receive each other's reports
     * @param turnedAway number of gateways whose reports take the way over a peer
     * @param hasOneSubject whether all crashing prompts share their first part
     * @param crashingFromMs time of the first crashing prompt
     * @param crashingUntilMs time of the last one
     * @param crashingPerMs their rate
     * @param randomCrashIntervalMs time between crashes by chance, 0 for none
     */
    record Plan(
            int gateways,
            int groups,
            boolean isStoreReachable,
            int turnedAway,
            boolean hasOneSubject,
            int crashingFromMs,
            int crashingUntilMs,
            double crashingPerMs,
            int randomCrashIntervalMs) {}

    /** A request of a caller and what became of it. */
    static final class Call {
        final long arrivedMs;
        final boolean isCrashing;
        final List<String> parts;
        boolean isRetry;
        boolean isOver;
        long startedMs = -1;
        boolean wasQuarantined;

        private Call(long arrivedMs, boolean isCrashing, List<String> parts) {
            this.arrivedMs = arrivedMs;
            this.isCrashing = isCrashing;
            this.parts = parts;
        }
    }

    private record ScheduledTask(long atMs, long order, Runnable task) {}

    /** An attempt at an upstream. */
    private static final class Work {
        private final int gateway;
        private final GatewayAction.SendAttempt send;
        private boolean isLive = true;
        private boolean isStarted;

        private Work(int gateway, GatewayAction.SendAttempt send) {
            this.gateway = gateway;
            this.send = send;
        }
    }

    /** A gateway with its view of the reports. */
    private static final class Gateway {
        private final GatewayDispatcher dispatcher;
        private final Map<Long, Call> open = new HashMap<>();
        private final Map<Long, Work> works = new HashMap<>();
        private final List<CrashEvidence> evidence = new ArrayList<>();

        private Gateway(GatewayDispatcher dispatcher) {
            this.dispatcher = dispatcher;
        }
    }

    final List<Call> calls = new ArrayList<>();
    final List<Long> crashMs = new ArrayList<>();
    final List<Long> crashingArrivalMs = new ArrayList<>();
    int published;

    private final Plan plan;
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Map<Integer, Integer> generations = new TreeMap<>();
    private final Map<Integer, List<Work>> running = new TreeMap<>();
    private final Map<Integer, Long> downUntilMs = new HashMap<>();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
    private long nowMs;
    private long order;
    private long nextId = 1;

    CrashingPromptSimulation(Plan plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed);
        for (int r = 0; r < RANKS; r++) {
            generations.put(r, 0);
            running.put(r, new ArrayList<>());
        }
        for (int g = 0; g < plan.gateways(); g++) {
            gateways.add(new Gateway(
                    new GatewayDispatcher("z", () -> RetryBudgets.createInService(0.2, 92.0), random.split())));
        }
        listUpstreams();
    }

    void simulate(int untilMs) {
        for (nowMs = 1; nowMs < untilMs; nowMs++) {
            if (random.nextDouble() < SOUND_PER_MS) {
                arrive(new Call(nowMs, false, List.of(subject())));
            }
            boolean isCrashing = nowMs >= plan.crashingFromMs() && nowMs < plan.crashingUntilMs();
            if (isCrashing && random.nextDouble() < plan.crashingPerMs()) {
                String first = plan.hasOneSubject() ? COMMON_SUBJECT : subject();
                arrive(new Call(nowMs, true, List.of(first, CRASHING_PART)));
            }
            if (plan.randomCrashIntervalMs() > 0 && nowMs % plan.randomCrashIntervalMs() == 0) {
                crash(random.nextInt(RANKS));
            }
            while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                tasks.poll().task().run();
            }
            if (nowMs % 50 == 0) {
                gateways.forEach(g -> handle(g, new GatewayEvent.Tick()));
            }
        }
    }

    /** Returns the share of the sound requests of a period whose answer began at the first attempt. */
    double soundShare(long fromMs, long untilMs) {
        return startedShare(calls.stream()
                .filter(c -> !c.isCrashing && c.arrivedMs >= fromMs && c.arrivedMs < untilMs)
                .toList());
    }

    /** Returns the same share of those on the most common subject. */
    double commonSubjectShare(long fromMs, long untilMs) {
        return startedShare(calls.stream()
                .filter(c -> !c.isCrashing && c.parts.contains(COMMON_SUBJECT))
                .filter(c -> c.arrivedMs >= fromMs && c.arrivedMs < untilMs)
                .toList());
    }

    private static double startedShare(List<Call> sound) {
        return (double) sound.stream()
                        .filter(c -> c.startedMs >= 0 && !c.isRetry)
                        .count()
                / sound.size();
    }

    double soundQuarantinedShare() {
        List<Call> sound = calls.stream().filter(c -> !c.isCrashing).toList();
        return (double) sound.stream().filter(c -> c.wasQuarantined).count() / sound.size();
    }

    /** Returns how many crashing requests reached upstreams later than the given time after the fifth crash. */
    long lateArrivals(int knownAfterMs) {
        if (crashMs.size() < 5) {
            return 0;
        }
        return crashingArrivalMs.stream()
                .filter(t -> t > crashMs.get(4) + knownAfterMs)
                .count();
    }

    private String subject() {
        return "subject-" + (int) (SUBJECTS * Math.pow(random.nextDouble(), 2));
    }

    private void arrive(Call call) {
        calls.add(call);
        send(call);
    }

    private void send(Call call) {
        Gateway g = gateways.get(random.nextInt(gateways.size()));
        long id = nextId++;
        g.open.put(id, call);
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                Route.RetrySafety.RESUMABLE,
                true,
                Duration.ofMillis(TIMEOUT_MS),
                Duration.ofMillis(400),
                Duration.ofMillis(120),
                2,
                0,
                false);
        handle(
                g,
                new GatewayEvent.RequestArrived(new GatewayRequest(
                        id,
                        route,
                        "s",
                        "t",
                        0,
                        700,
                        140,
                        call.parts,
                        Duration.ofMillis(nowMs - call.arrivedMs),
                        nowMs * MS,
                        (call.arrivedMs + TIMEOUT_MS) * MS)));
        schedule(CALLER_PATIENCE_MS, () -> {
            if (call.startedMs < 0 && g.open.remove(id) != null) {
                handle(g, new GatewayEvent.CallerDisconnected(id));
            }
        });
    }

    private void handle(Gateway g, GatewayEvent event) {
        for (GatewayAction action : g.dispatcher.handle(event, nowMs * MS)) {
            switch (action) {
                case GatewayAction.SendAttempt s -> reach(g, s);
                case GatewayAction.CancelAttempt c ->
                    Optional.ofNullable(g.works.remove(c.attempt())).ifPresent(w -> w.isLive = false);
                case GatewayAction.WithdrawAttempt w -> throw new AssertionError("no zone is evacuated");
                case GatewayAction.DeliverResponse d -> g.open.remove(d.request()).isOver = true;
                case GatewayAction.RefuseRequest r -> refused(g.open.remove(r.request()), r.verdict());
                case GatewayAction.AbortResponse b -> g.open.remove(b.request()).isOver = true;
                case GatewayAction.ReportPlacement p -> throw new AssertionError("requests are counted");
                case GatewayAction.ReportRateLimit l -> throw new AssertionError("no upstream has named a limit");
                case GatewayAction.CheckUpstream c ->
                    schedule(
                            ROUND_TRIP_MS,
                            () -> handle(
                                    g, new GatewayEvent.UpstreamChecked(c.upstream(), !isListening(c.upstream()))));
                case GatewayAction.PublishEvidence p -> publish(g, p.evidence());
                case GatewayAction.QuerySpeeds q -> {
                    // All upstreams have the same speed.
                }
                case GatewayAction.ReportGroupAvailability a -> {
                    // Not checked here.
                }
                case GatewayAction.ReportGroupState n -> {
                    // Affects only the log.
                }
                case GatewayAction.ReportRetryDenied d -> {
                    // Affects only the log.
                }
                case GatewayAction.ReportQuarantine q -> {
                    // Affects only the log.
                }
                case GatewayAction.ReportBackoff b -> throw new AssertionError("no upstream asks to be left alone");
                case GatewayAction.ReportCold c -> throw new AssertionError("no service has a rule");
                case GatewayAction.ReportHeldBack h -> throw new AssertionError("no service has a rule");
            }
        }
    }

    private void publish(Gateway from, CrashEvidence observation) {
        published++;
        int firstDelayMs = gateways.indexOf(from) < plan.turnedAway() ? PEER_DELAY_MS : 0;
        for (Gateway g : gateways) {
            if (g == from || plan.isStoreReachable()) {
                schedule(g == from ? 0 : firstDelayMs + random.nextInt(MAX_STORE_DELAY_MS), () -> {
                    g.evidence.add(observation);
                    handle(g, new GatewayEvent.CrashEvidenceUpdated(g.evidence));
                });
            }
        }
    }

    private void reach(Gateway g, GatewayAction.SendAttempt s) {
        Work work = new Work(gateways.indexOf(g), s);
        g.works.put(s.attempt(), work);
        if (!isListening(s.upstream())) {
            schedule(ROUND_TRIP_MS, () -> end(work, new AttemptOutcome.Unreached()));
            return;
        }
        if (s.request().sharedParts().contains(CRASHING_PART)) {
            crashingArrivalMs.add(nowMs);
        }
        if (isStalled(rank(s.upstream()))) {
            schedule(
                    ROUND_TRIP_MS,
                    () -> end(work, new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.GROUP_BROKEN)));
            return;
        }
        int rank = rank(s.upstream());
        running.get(rank).add(work);
        int load = 1 + running.get(rank).size() / SLOTS;
        schedule(load * FIRST_EVENT_MS, () -> begin(work, rank));
    }

    private void begin(Work work, int rank) {
        if (!isAlive(work, rank)) {
            return;
        }
        if (work.send.request().sharedParts().contains(CRASHING_PART)) {
            crash(rank);
            return;
        }
        for (int ms = 0; ms < RESPONSE_MS; ms += EVENT_MS) {
            schedule(ms, () -> {
                if (isAlive(work, rank)) {
                    Gateway g = gateways.get(work.gateway);
                    Call call = g.open.get(work.send.request().id());
                    call.startedMs = call.startedMs < 0 ? nowMs : call.startedMs;
                    work.isStarted = true;
                    handle(g, new GatewayEvent.ResponseProgress(work.send.attempt(), true));
                }
            });
        }
        schedule(RESPONSE_MS, () -> {
            if (isAlive(work, rank)) {
                running.get(rank).remove(work);
                end(work, new AttemptOutcome.Completed(200));
            }
        });
    }

    private boolean isAlive(Work work, int rank) {
        return work.isLive && running.get(rank).contains(work) && !isStalled(rank);
    }

    private void crash(int rank) {
        if (downUntilMs.getOrDefault(rank, 0L) > nowMs) {
            return;
        }
        crashMs.add(nowMs);
        downUntilMs.put(rank, nowMs + DOWN_MS);
        List<Work> lost = running.put(rank, new ArrayList<>());
        lost.forEach(w -> end(w, new AttemptOutcome.Broken(Reason.CONNECTION_LOST)));
        schedule(DOWN_MS, () -> {
            generations.merge(rank, 1, Integer::sum);
            listUpstreams();
        });
        if (plan.groups() > 0) {
            schedule(STALL_MS, () -> cutOffGroup(rank));
        }
    }

    /** Ends the work of the members whose group has lost the given one. */
    private void cutOffGroup(int lostRank) {
        for (int rank : running.keySet()) {
            List<Work> works = running.get(rank);
            for (Work w : isSameGroup(rank, lostRank) ? List.copyOf(works) : List.<Work>of()) {
                works.remove(w);
                end(
                        w,
                        w.isStarted
                                ? new AttemptOutcome.Broken(Reason.CONNECTION_LOST)
                                : new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.GROUP_BROKEN));
            }
        }
    }

    private boolean isStalled(int rank) {
        return plan.groups() > 0
                && downUntilMs.entrySet().stream().anyMatch(e -> isSameGroup(rank, e.getKey()) && e.getValue() > nowMs);
    }

    private boolean isSameGroup(int rank, int other) {
        return rank % plan.groups() == other % plan.groups();
    }

    private boolean isListening(ListedUpstream u) {
        int rank = rank(u);
        return u.startedMillis() == generations.get(rank) && downUntilMs.getOrDefault(rank, 0L) <= nowMs;
    }

    private void end(Work work, AttemptOutcome outcome) {
        Gateway g = gateways.get(work.gateway);
        if (work.isLive && g.works.remove(work.send.attempt()) != null) {
            work.isLive = false;
            handle(g, new GatewayEvent.AttemptEnded(work.send.attempt(), outcome));
        }
    }

    /** Sends a refused request once more, as callers do whose request certainly did not run or is a stream. */
    private void refused(Call call, Verdict verdict) {
        call.wasQuarantined |= verdict instanceof Verdict.NotRun v && v.reason() == Reason.PROMPT_QUARANTINED;
        if (call.isRetry) {
            call.isOver = true;
            return;
        }
        call.isRetry = true;
        long leftMs = call.arrivedMs + TIMEOUT_MS - nowMs;
        long waitMs = verdict instanceof Verdict.NotRun v ? v.retryAfter().toMillis() : 100;
        schedule(Math.min(waitMs, leftMs / 3), () -> send(call));
    }

    private void listUpstreams() {
        List<ListedUpstream> list = generations.entrySet().stream()
                .map(e -> new ListedUpstream("r" + e.getKey(), "s", "10.0.0.1", 80, "z", SLOTS, false, e.getValue()))
                .toList();
        gateways.forEach(g -> handle(g, new GatewayEvent.UpstreamsUpdated(list)));
    }

    private static int rank(ListedUpstream u) {
        return Integer.parseInt(u.id().substring(1));
    }

    private void schedule(long ms, Runnable task) {
        tasks.add(new ScheduledTask(nowMs + ms, order++, task));
    }
}
