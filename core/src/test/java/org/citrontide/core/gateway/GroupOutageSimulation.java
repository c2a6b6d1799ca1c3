package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Simulates an outage of one group of a service in virtual time, while 52 requests per second, or 36 of a service with
 * several groups, arrive at eight gateways.
 * Callers wait 2 s for a first event, honour the retry delay and retry once. Not thread-safe.
 */
final class GroupOutageSimulation {
    static final int DOWN_FROM_MS = 3_000;
    static final int DOWN_UNTIL_MS = 9_000;
    static final int LAST_ARRIVAL_MS = 12_000;
    static final int GATEWAYS = 8;
    static final int ARRIVALS_AFTER_MS = 3_000;
    static final int ARRIVALS_BEFORE_MS = 3_000;
    static final double RETRY_RATIO = 0.2;
    static final double RETRY_SLACK = 92;

    private static final long MS = 1_000_000;
    private static final int DEADLINE_MS = 8_000;
    private static final int CALLER_TIMEOUT_MS = 2_000;
    private static final int FIRST_EVENT_MS = 180;
    private static final int EVENT_MS = 50;
    private static final int RESPONSE_MS = 1_200;
    private static final double REQUESTS_PER_MS = 0.052;
    private static final int RANKS = 16;
    private static final int SLOTS = 8;
    // Two thirds of what half of the ranks can serve.
    private static final double REQUESTS_PER_MS_OF_SEVERAL_GROUPS = 0.036;
    private static final int TARGET_MS = 400;
    // With several groups, work that a broken one has accepted stalls for this long before it is rejected.
    private static final int STALL_MS = 1_500;
    private static final int REPORT_LAG_MS = 200;

    /**
     * A period without one member of a group.
     *
     * @param fromMs start in ms
     * @param untilMs end in ms
     */
    record Outage(int fromMs, int untilMs) {}

    /**
     * What a simulation plays.
     *
     * @param gateways number of gateways
     * @param ranks number of group members
     * @param slots slots of one member
     * @param requestsPerMs arrival rate
     * @param groups number of groups, the first of which breaks
     * @param isGroupKnown whether the gateways know the groups
     * @param isCountKnown whether the gateways know their number
     * @param outages periods without one member
     * @param lastArrivalMs end of the arrivals in ms
     */
    record Scenario(
            int gateways,
            int ranks,
            int slots,
            double requestsPerMs,
            int groups,
            boolean isGroupKnown,
            boolean isCountKnown,
            List<Outage> outages,
            int lastArrivalMs) {

        /** Returns a scenario with one group, one outage and arrivals until three seconds after it. */
        static Scenario ofOneGroup(
                int gateways, int ranks, int slots, double requestsPerMs, boolean isCountKnown, int outageMs) {
            int untilMs = DOWN_FROM_MS + outageMs;
            List<Outage> outages = List.of(new Outage(DOWN_FROM_MS, untilMs));
            return new Scenario(
                    gateways,
                    ranks,
                    slots,
                    requestsPerMs,
                    1,
                    false,
                    isCountKnown,
                    outages,
                    untilMs + ARRIVALS_AFTER_MS);
        }

        /** Returns a scenario with one group and several outages, with a period without arrivals between them. */
        static Scenario ofOutages(int gateways, int ranks, int slots, double requestsPerMs, List<Outage> outages) {
            int lastArrivalMs = outages.getLast().untilMs() + ARRIVALS_AFTER_MS;
            return new Scenario(gateways, ranks, slots, requestsPerMs, 1, false, true, outages, lastArrivalMs);
        }

        private boolean hasArrivals(long atMs) {
            return atMs < lastArrivalMs
                    && outages.stream()
                            .anyMatch(o ->
                                    atMs > o.fromMs() - ARRIVALS_BEFORE_MS && atMs < o.untilMs() + ARRIVALS_AFTER_MS);
        }
    }

    /** A caller with one request and its retries. */
    private static final class Caller {
        private final long arrivedMs;
        private final int rank;
        private long sentMs;
        private long vainMs;
        private int refusals;
        private int attempt;
        private boolean hasStarted;
        private long startedMs = -1;
        private long completedMs = -1;
        private long openId = -1;

        private Caller(long arrivedMs, int rank) {
            this.arrivedMs = arrivedMs;
            this.rank = rank;
        }
    }

    /** A task scheduled for a point in virtual time. */
    private record ScheduledTask(long atMs, long order, Runnable task) {}

    /** An attempt that waits for a slot of a group member. */
    private record QueuedAttempt(int rank, long order, int gateway, GatewayAction.SendAttempt send) {}

    private final Scenario scenario;
    private final SplittableRandom random;
    private final List<GatewayDispatcher> gateways = new ArrayList<>();
    private final List<Map<Long, Caller>> open = new ArrayList<>();
    private final List<Set<Long>> liveAttempts = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
    private final Map<String, PriorityQueue<QueuedAttempt>> queues = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<Long, Integer> sends = new HashMap<>();
    private long nowMs;
    private long order;
    private long nextId = 1;
    private int retries;
    private int rejections;

    /** Creates a simulation of a service with one group, which breaks. */
    GroupOutageSimulation(long seed) {
        this(seed, 1, false);
    }

    /** Creates a simulation of a service with several groups, the first of which breaks. */
    GroupOutageSimulation(long seed, int groups, boolean isGroupKnown) {
        this(
                seed,
                new Scenario(
                        GATEWAYS,
                        RANKS,
                        SLOTS,
                        groups > 1 ? REQUESTS_PER_MS_OF_SEVERAL_GROUPS : REQUESTS_PER_MS,
                        groups,
                        isGroupKnown,
                        false,
                        List.of(new Outage(DOWN_FROM_MS, DOWN_UNTIL_MS)),
                        LAST_ARRIVAL_MS));
    }

    /** Creates a simulation of a scenario. */
    GroupOutageSimulation(long seed, Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(seed);
        Map<String, String> groupByUpstream = new HashMap<>();
        List<ListedUpstream> list = new ArrayList<>();
        for (int r = 0; r < scenario.ranks(); r++) {
            list.add(new ListedUpstream("r" + r, "s", "10.0.0.1", 80, "z", scenario.slots(), false, 0));
            groupByUpstream.put("r" + r, "s/" + groupOf(r));
            queues.put(
                    "r" + r,
                    new PriorityQueue<>(
                            Comparator.comparingInt(QueuedAttempt::rank).thenComparingLong(QueuedAttempt::order)));
        }
        for (int g = 0; g < scenario.gateways(); g++) {
            GatewayDispatcher d = new GatewayDispatcher(
                    "z", () -> RetryBudgets.createInService(RETRY_RATIO, RETRY_SLACK), random.split());
            d.handle(new GatewayEvent.UpstreamsUpdated(list), 0);
            if (scenario.isCountKnown()) {
                d.handle(new GatewayEvent.SlotsUpdated(new SendSlots(g, scenario.gateways(), 0)), 0);
            }
            if (scenario.isGroupKnown()) {
                d.handle(new GatewayEvent.GroupsUpdated(groupByUpstream), 0);
            }
            gateways.add(d);
            open.add(new HashMap<>());
            liveAttempts.add(new HashSet<>());
        }
    }

    /** Returns the number of requests of all callers, without their retries. */
    int requests() {
        return callers.size();
    }

    /** Returns the number of attempts that followed an earlier one of the same request. */
    int retries() {
        return retries;
    }

    /** Returns the number of attempts that reached the broken group. */
    int rejections() {
        return rejections;
    }

    /** Returns the share served of the requests of one rank that arrived in a period. */
    double servedShareOfRank(int rank, long fromMs, long untilMs) {
        List<Caller> selected = callers.stream()
                .filter(c -> c.rank == rank && c.arrivedMs >= fromMs && c.arrivedMs < untilMs)
                .toList();
        return (double) selected.stream().filter(c -> c.completedMs >= 0).count() / selected.size();
    }

    /** Returns how long callers that were refused twice waited in vain on their return, in s, by arrival. */
    double vainSeconds(long fromMs, long untilMs) {
        return callers.stream()
                        .filter(c -> c.arrivedMs >= fromMs && c.arrivedMs < untilMs)
                        .mapToLong(c -> c.vainMs)
                        .sum()
                / 1000.0;
    }

    void simulate() {
        for (nowMs = 1; nowMs < scenario.lastArrivalMs() + DEADLINE_MS + 1000; nowMs++) {
            if (scenario.hasArrivals(nowMs) && random.nextDouble() < scenario.requestsPerMs()) {
                Caller c = new Caller(nowMs, random.nextInt(3));
                callers.add(c);
                sendRequest(c);
            }
            while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                tasks.poll().task().run();
            }
            if (nowMs % 50 == 0) {
                for (int g = 0; g < scenario.gateways(); g++) {
                    handle(g, new GatewayEvent.Tick());
                }
            }
        }
    }

    /** Returns the share served of the requests that arrived in a period. */
    double servedShare(long fromMs, long untilMs) {
        List<Caller> selected = callers.stream()
                .filter(c -> c.arrivedMs >= fromMs && c.arrivedMs < untilMs)
                .toList();
        return (double) selected.stream().filter(c -> c.completedMs >= 0).count() / selected.size();
    }

    /** Returns the share of the requests that arrived in a period whose response started in time. */
    double onTimeShare(long fromMs, long untilMs) {
        List<Caller> selected = callers.stream()
                .filter(c -> c.arrivedMs >= fromMs && c.arrivedMs < untilMs)
                .toList();
        long onTime = selected.stream()
                .filter(c -> c.startedMs >= 0 && c.startedMs - c.arrivedMs <= TARGET_MS)
                .count();
        return (double) onTime / selected.size();
    }

    private boolean isDown(String upstream, long atMs) {
        return groupOf(Integer.parseInt(upstream.substring(1))) == 0
                && scenario.outages().stream().anyMatch(o -> atMs >= o.fromMs() && atMs < o.untilMs());
    }

    private int groupOf(int rank) {
        return rank * scenario.groups() / scenario.ranks();
    }

    private void sendRequest(Caller c) {
        int g = random.nextInt(scenario.gateways());
        long id = nextId++;
        int attempt = ++c.attempt;
        c.sentMs = nowMs;
        c.openId = id;
        open.get(g).put(id, c);
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                Route.RetrySafety.RESUMABLE,
                true,
                Duration.ofMillis(DEADLINE_MS),
                Duration.ofMillis(TARGET_MS),
                Duration.ofMillis(120),
                3,
                c.rank,
                false);
        long end = (c.arrivedMs + DEADLINE_MS) * MS;
        handle(
                g,
                new GatewayEvent.RequestArrived(new GatewayRequest(
                        id,
                        route,
                        "s",
                        "t",
                        c.rank,
                        700,
                        140,
                        List.of(),
                        Duration.ofMillis(nowMs - c.arrivedMs),
                        nowMs * MS,
                        end)));
        schedule(CALLER_TIMEOUT_MS, () -> {
            if (c.attempt == attempt && !c.hasStarted && open.get(g).remove(id) != null) {
                handle(g, new GatewayEvent.CallerDisconnected(id));
            }
        });
    }

    private void handle(int g, GatewayEvent event) {
        for (GatewayAction action : gateways.get(g).handle(event, nowMs * MS)) {
            switch (action) {
                case GatewayAction.SendAttempt s -> send(g, s);
                case GatewayAction.RefuseRequest r -> refused(g, r);
                case GatewayAction.DeliverResponse d -> open.get(g).remove(d.request()).completedMs = nowMs;
                case GatewayAction.AbortResponse b -> open.get(g).remove(b.request());
                case GatewayAction.QuerySpeeds a -> a.upstreams().forEach(u -> report(g, u.id()));
                case GatewayAction.ReportGroupAvailability a -> {
                    // Affects only the log.
                }
                case GatewayAction.ReportGroupState n -> {
                    // Affects only the log.
                }
                case GatewayAction.ReportPlacement p -> throw new AssertionError("requests are counted");
                case GatewayAction.ReportRateLimit l -> throw new AssertionError("no upstream has named a limit");
                case GatewayAction.CheckUpstream c -> throw new AssertionError("no prompt has a shared part");
                case GatewayAction.PublishEvidence c -> throw new AssertionError("no upstream was checked");
                case GatewayAction.ReportRetryDenied d -> {
                    // Affects only the log.
                }
                case GatewayAction.ReportQuarantine c -> throw new AssertionError("no part is suspected");
                case GatewayAction.WithdrawAttempt w -> throw new AssertionError("no zone is evacuated");
                case GatewayAction.ReportBackoff b -> throw new AssertionError("no upstream asks to be left alone");
                case GatewayAction.ReportCold c -> throw new AssertionError("no service has a rule");
                case GatewayAction.ReportHeldBack h -> throw new AssertionError("no service has a rule");
                case GatewayAction.CancelAttempt c -> liveAttempts.get(g).remove(c.attempt());
            }
        }
    }

    private void send(int g, GatewayAction.SendAttempt s) {
        if (sends.merge(s.request().id(), 1, Integer::sum) > 1) {
            retries++;
        }
        if (isDown(s.upstream().id(), nowMs)) {
            rejections++;
            long stalledMs = scenario.groups() > 1 ? Math.max(0, DOWN_FROM_MS + STALL_MS - nowMs) : 0;
            liveAttempts.get(g).add(s.attempt());
            schedule(
                    2 + stalledMs,
                    () -> handle(
                            g,
                            new GatewayEvent.AttemptEnded(
                                    s.attempt(),
                                    new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.GROUP_BROKEN))));
            return;
        }
        liveAttempts.get(g).add(s.attempt());
        queues.get(s.upstream().id()).add(new QueuedAttempt(s.admissionRank(), order++, g, s));
        startQueued(s.upstream().id());
    }

    private void report(int g, String upstream) {
        boolean isOpen = !isDown(upstream, nowMs - REPORT_LAG_MS);
        schedule(3, () -> handle(g, new GatewayEvent.ReportReceived(upstream, 1, isOpen)));
    }

    /** Starts queued attempts in admission order while the group member has free slots. */
    private void startQueued(String id) {
        while (running.getOrDefault(id, 0) < scenario.slots() && !queues.get(id).isEmpty()) {
            QueuedAttempt queued = queues.get(id).poll();
            if (liveAttempts.get(queued.gateway()).contains(queued.send().attempt())) {
                running.merge(id, 1, Integer::sum);
                run(queued.gateway(), queued.send());
            }
        }
    }

    private void run(int g, GatewayAction.SendAttempt s) {
        for (int ms = FIRST_EVENT_MS; ms < RESPONSE_MS; ms += EVENT_MS) {
            schedule(ms, () -> {
                Caller c = open.get(g).get(s.request().id());
                if (c != null
                        && !isDown(s.upstream().id(), nowMs)
                        && liveAttempts.get(g).contains(s.attempt())) {
                    c.startedMs = c.hasStarted ? c.startedMs : nowMs;
                    c.hasStarted = true;
                    handle(g, new GatewayEvent.ResponseProgress(s.attempt(), true));
                }
            });
        }
        schedule(RESPONSE_MS, () -> {
            running.merge(s.upstream().id(), -1, Integer::sum);
            if (liveAttempts.get(g).remove(s.attempt())) {
                AttemptOutcome broken = new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
                handle(
                        g,
                        new GatewayEvent.AttemptEnded(
                                s.attempt(),
                                isDown(s.upstream().id(), nowMs) ? broken : new AttemptOutcome.Completed(200)));
            }
            startQueued(s.upstream().id());
        });
    }

    private void refused(int g, GatewayAction.RefuseRequest r) {
        Caller c = open.get(g).remove(r.request());
        if (!(r.verdict() instanceof Verdict.NotRun v)) {
            return;
        }
        long left = c.arrivedMs + DEADLINE_MS - nowMs;
        assertTrue(v.retryAfter().toMillis() <= left / 3, "retry delay is longer than callers wait");
        c.refusals++;
        c.vainMs = c.refusals == 2 ? nowMs - c.sentMs : 0;
        if (c.refusals == 1) {
            schedule(v.retryAfter().toMillis(), () -> sendRequest(c));
        }
    }

    private void schedule(long ms, Runnable task) {
        tasks.add(new ScheduledTask(nowMs + ms, order++, task));
    }
}
