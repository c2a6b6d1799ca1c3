package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays requests at many gateways while upstreams name the rate that they take from all of them. Guards against an
 * upstream that gets more than its limit because each gateway counts only its own requests, whose clocks differ and
 * whose views of each other are out of date.
 */
final class UpstreamLimitLoadTest {
    private static final long MS = 1_000_000;
    private static final int SEEDS = 10;
    // A simulation of so many takes half a minute.
    private static final int MANY_GATEWAYS = 100;
    private static final int END_MS = 60_000;
    private static final int HEAD_MS = 20;
    private static final int RESPONSE_MS = 800;
    private static final int TIMEOUT_MS = 8_000;
    // From the users' pages: which requests count, and how many of them are allowed.
    private static final int GRACE_MS = 3_000;
    private static final int TOLD_MS = 500;
    private static final int WINDOW_MS = 4_000;
    private static final double SLACK_FACTOR = 1.5;
    private static final int SLACK = 5;

    /** What a simulation plays. */
    private record Plan(
            int gateways, int upstreams, int limited, double limitPerSecond, double requestsPerSecond, int maxSkewMs) {
        double maxArrivals() {
            return SLACK_FACTOR * limitPerSecond * WINDOW_MS / 1000 + SLACK;
        }
    }

    private record ScheduledTask(long atMs, long order, Runnable task) {}

    @ParameterizedTest
    @CsvSource({
        // gateways, upstreams, limit, requests per s, clock skew
        "8, 16, 1.6, 52, 0",
        "8, 16, 1.6, 52, 2500",
        "39, 72, 1.6, 235, 20",
        "39, 72, 1.6, 235, 2500",
        "200, 400, 1.2, 1300, 200",
        "3, 3, 40, 300, 20"
    })
    void anUpstreamGetsAtMostTheLimitThatItNamed(
            int gateways, int upstreams, double limit, double rate, int maxSkewMs) {
        int seeds = gateways < MANY_GATEWAYS ? SEEDS : 1;
        for (int seed = 1; seed <= seeds; seed++) {
            Simulation s = new Simulation(new Plan(gateways, upstreams, 1, limit, rate, maxSkewMs), seed);
            s.simulate();
            s.checkLimits("seed " + seed);
            assertEquals(0, s.refusals, "other upstreams have room");
            double used =
                    s.arrivals.get("u0").stream().filter(t -> t > GRACE_MS).count()
                            / (limit * (END_MS - GRACE_MS) / 1000);
            assertTrue(used >= 0.25, "seed " + seed + ": share of the limit that is used " + used);
        }
    }

    @Test
    void requestsWaitForALimitedServiceOrAreRefusedAtOnce() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Simulation s = new Simulation(new Plan(8, 3, 3, 2, 12, 20), seed);
            s.simulate();
            s.checkLimits("seed " + seed);
            int served = s.arrivals.values().stream().mapToInt(List::size).sum();
            assertTrue(served >= 0.7 * 3 * 2 * END_MS / 1000, "seed " + seed + ": " + served + " sent");
            assertTrue(s.refusals > 0, "twice as many requests as the limits allow");
            long[] byGateway =
                    s.sentByGateway.stream().mapToLong(n -> n).sorted().toArray();
            assertTrue(
                    byGateway[0] >= byGateway[byGateway.length - 1] / 2.0,
                    "seed " + seed + ": a gateway sent " + byGateway[0] + " requests, another one "
                            + byGateway[byGateway.length - 1]);
        }
    }

    @Test
    void registrationsThatLapseTogetherDoNotEnlargeTheShares() {
        GatewayRoster roster = new GatewayRoster("vm3");
        roster.update(List.of("vm1", "vm2", "vm3", "vm4"), 0);
        assertEquals(4, roster.count());
        assertEquals(2, roster.index());
        roster.update(List.of(), GatewayRoster.HOLD.toNanos() - 1);
        assertEquals(4, roster.count());
        roster.update(List.of("vm2"), GatewayRoster.HOLD.toNanos() + 1);
        assertEquals(2, roster.count());
        assertEquals(1, roster.index());
    }

    /** A simulation of gateways and upstreams in virtual time. */
    private static final class Simulation {
        private final Plan plan;
        private final SplittableRandom random;
        private final List<GatewayDispatcher> gateways = new ArrayList<>();
        private final List<Long> sentByGateway = new ArrayList<>();
        private final Map<String, List<Long>> arrivals = new HashMap<>();
        private final Map<String, List<Long>> countedArrivals = new HashMap<>();
        private final Map<String, Long> toldMs = new HashMap<>();
        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
        private long nowMs;
        private long order;
        private long nextId = 1;
        private int refusals;

        private Simulation(Plan plan, long seed) {
            this.plan = plan;
            random = new SplittableRandom(seed);
            List<ListedUpstream> list = new ArrayList<>();
            for (int u = 0; u < plan.upstreams(); u++) {
                list.add(new ListedUpstream("u" + u, "s", "10.0.0.1", 80, "z", 8, false, 0));
                arrivals.put("u" + u, new ArrayList<>());
                countedArrivals.put("u" + u, new ArrayList<>());
            }
            for (int g = 0; g < plan.gateways(); g++) {
                GatewayDispatcher d =
                        new GatewayDispatcher("z", () -> RetryBudgets.createInService(0.2, 92.0), random.split());
                d.handle(new GatewayEvent.UpstreamsUpdated(list), 0);
                long skewNanos = plan.maxSkewMs() == 0 ? 0 : random.nextLong(plan.maxSkewMs()) * MS;
                // One gateway in ten has not heard of the last one that registered.
                int known = g % 10 == 3 ? plan.gateways() - 1 : plan.gateways();
                d.handle(new GatewayEvent.SlotsUpdated(new SendSlots(g, known, -skewNanos)), 0);
                gateways.add(d);
                sentByGateway.add(0L);
            }
        }

        private void simulate() {
            for (nowMs = 1; nowMs < END_MS; nowMs++) {
                double due = plan.requestsPerSecond() / 1000;
                while (due > 0 && random.nextDouble() < due) {
                    arrive();
                    due--;
                }
                while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                    tasks.poll().task().run();
                }
                if (nowMs % 50 == 0) {
                    for (int g = 0; g < gateways.size(); g++) {
                        handle(g, new GatewayEvent.Tick());
                    }
                }
            }
        }

        private void checkLimits(String message) {
            for (int u = 0; u < plan.limited(); u++) {
                List<Long> counted = countedArrivals.get("u" + u).stream()
                        .filter(t -> t > GRACE_MS)
                        .toList();
                for (long from : counted) {
                    long count = counted.stream()
                            .filter(t -> t >= from && t < from + WINDOW_MS)
                            .count();
                    assertTrue(
                            count <= plan.maxArrivals(),
                            message + ": " + count + " requests in 4 s, " + plan.maxArrivals() + " allowed");
                }
            }
        }

        private void arrive() {
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    List.of(new Route.Split("s", 1)),
                    Route.RetrySafety.IDEMPOTENT,
                    false,
                    Duration.ofMillis(TIMEOUT_MS),
                    Duration.ofMillis(4000),
                    Duration.ZERO,
                    2,
                    0,
                    false);
            handle(
                    random.nextInt(gateways.size()),
                    new GatewayEvent.RequestArrived(new GatewayRequest(
                            nextId++,
                            route,
                            "s",
                            "t",
                            0,
                            0,
                            0,
                            List.of(),
                            Duration.ZERO,
                            nowMs * MS,
                            (nowMs + TIMEOUT_MS) * MS)));
        }

        private void handle(int g, GatewayEvent event) {
            for (GatewayAction action : gateways.get(g).handle(event, nowMs * MS)) {
                if (action instanceof GatewayAction.SendAttempt s) {
                    send(g, s);
                } else if (action instanceof GatewayAction.RefuseRequest r) {
                    assertTrue(r.verdict() instanceof Verdict.NotRun, r.toString());
                    refusals++;
                }
            }
        }

        private void send(int g, GatewayAction.SendAttempt s) {
            String pair = g + " " + s.upstream().id();
            arrivals.get(s.upstream().id()).add(nowMs);
            if (toldMs.containsKey(pair) && nowMs - toldMs.get(pair) >= TOLD_MS) {
                countedArrivals.get(s.upstream().id()).add(nowMs);
            }
            sentByGateway.set(g, sentByGateway.get(g) + 1);
            boolean isLimited = Integer.parseInt(s.upstream().id().substring(1)) < plan.limited();
            OptionalDouble limit = isLimited ? OptionalDouble.of(plan.limitPerSecond()) : OptionalDouble.empty();
            schedule(HEAD_MS, () -> {
                toldMs.putIfAbsent(pair, nowMs);
                handle(g, new GatewayEvent.HeadReceived(s.attempt(), limit));
            });
            schedule(
                    RESPONSE_MS,
                    () -> handle(g, new GatewayEvent.AttemptEnded(s.attempt(), new AttemptOutcome.Completed(200))));
        }

        private void schedule(long ms, Runnable task) {
            tasks.add(new ScheduledTask(nowMs + ms, order++, task));
        }
    }
}
