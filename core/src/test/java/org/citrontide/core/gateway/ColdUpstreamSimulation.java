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

import org.citrontide.core.routes.ColdRule;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.warmup.ColdSettings;
import org.citrontide.core.warmup.TurnOrder;

/**
 * Plays gateways and upstreams in virtual time while upstreams restart and are cold. An upstream that gets more than
 * the bound while it is cold crashes and starts again, cold. Not thread-safe.
 */
final class ColdUpstreamSimulation {
    static final int COLD_MS = 3_000;
    static final int START_MS = 1_000;
    static final int END_MS = 8_000;
    static final double OVERAGE = 1.5;
    static final int SLACK = 5;
    private static final long MS = 1_000_000;
    private static final int SECOND_MS = 1_000;
    private static final int TICK_MS = 50;
    private static final int RESTART_MS = 300;
    private static final int HEARTBEAT_MS = 1_200;
    private static final int TIMEOUT_MS = 8_000;
    private static final int RESPONSE_MS = 150;
    private static final int SETTLED_MS = 60_000;
    // Two gateways restart one after the other while upstreams are cold.
    private static final int[] RESTARTS_MS = {1_500, 2_600};

    /** What a simulation plays. */
    record Plan(
            int gateways,
            int working,
            int upstreams,
            int cold,
            double coldPerSecond,
            double requestsPerSecond,
            int maxDelayMs,
            int maxSkewMs,
            boolean isRosterKnown,
            boolean isEnabled) {
        double maxArrivals() {
            return coldPerSecond * OVERAGE + SLACK;
        }
    }

    private record ScheduledTask(long atMs, long order, Runnable task) {}

    private record Arrival(long sentMs, long arrivedMs) {}

    /** An upstream and the requests of its present instance. */
    private static final class Upstream {
        private final String id;
        private final List<Arrival> arrivals = new ArrayList<>();
        private int instance = 1;
        private long coldUntilMs;
        private long upFromMs;

        private Upstream(String id) {
            this.id = id;
        }
    }

    /** A gateway and its number of starts, by which messages to an earlier process are dropped. */
    private static final class Gateway {
        private GatewayDispatcher dispatcher;
        private long skewMs;
        private int starts;
    }

    /** Number of requests that were answered. */
    int served;

    /** Number of requests that were refused or got no answer. */
    int failed;

    /** Number of requests that were refused after they had waited. */
    int refusedLate;

    /** Number of requests that were held back. */
    int held;

    /** Number of crashes of cold upstreams. */
    int crashes;

    /** Largest number of requests that were sent and arrived within a second at a cold upstream. */
    int maxWithinSecond;

    /** Number of requests that cold upstreams got. */
    int toCold;

    private final Plan plan;
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
    private final Map<Long, Long> arrivedById = new HashMap<>();
    private long nowMs;
    private long order;
    private long nextId = 1;

    ColdUpstreamSimulation(Plan plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed);
        for (int u = 0; u < plan.upstreams(); u++) {
            upstreams.add(new Upstream("u" + u));
        }
        for (int g = 0; g < plan.gateways(); g++) {
            Gateway gateway = new Gateway();
            gateway.skewMs = plan.maxSkewMs() == 0 ? 0 : random.nextInt(plan.maxSkewMs());
            gateways.add(gateway);
            start(gateway, SETTLED_MS);
        }
        // All gateways have seen the first instances before some of them are replaced.
        schedule(START_MS, () -> upstreams.subList(0, plan.cold()).forEach(this::restart));
        int restarted = Math.min(RESTARTS_MS.length, plan.gateways() - 1);
        for (int r = 0; r < restarted; r++) {
            Gateway gateway = gateways.get(r);
            schedule(RESTARTS_MS[r], () -> start(gateway, 0));
        }
        schedule(HEARTBEAT_MS, this::heartbeat);
    }

    private void start(Gateway g, int uptimeMs) {
        g.starts++;
        g.dispatcher = new GatewayDispatcher(
                "z",
                Map.of(),
                () -> RetryBudgets.createInService(0.2, 92.0),
                random.split(),
                new ColdSettings(OVERAGE, SLACK));
        if (plan.isEnabled()) {
            ColdRule rule = new ColdRule(Duration.ofMillis(COLD_MS), plan.coldPerSecond());
            handle(g, new GatewayEvent.ColdRulesUpdated(Map.of("s", rule)));
        }
        if (plan.isRosterKnown()) {
            updateTurns(g, uptimeMs);
        }
        handle(g, new GatewayEvent.UpstreamsUpdated(list()));
    }

    private void updateTurns(Gateway g, int uptimeMs) {
        int index = gateways.indexOf(g);
        // One gateway in ten has not heard of the last two that registered.
        int known = index % 10 == 3 ? Math.max(index + 1, plan.gateways() - 2) : plan.gateways();
        long epochNanos = -g.skewMs * MS;
        handle(
                g,
                new GatewayEvent.TurnsUpdated(TurnOrder.of(index, known, 1, epochNanos, Duration.ofMillis(uptimeMs))));
    }

    private void restart(Upstream u) {
        u.instance++;
        u.upFromMs = nowMs;
        u.coldUntilMs = nowMs + COLD_MS;
        u.arrivals.clear();
        announce();
    }

    private void heartbeat() {
        announce();
        if (nowMs + HEARTBEAT_MS < END_MS) {
            schedule(HEARTBEAT_MS, this::heartbeat);
        }
    }

    /** Lets each gateway read the entries after a delay of its own; an old entry may be read after a newer one. */
    private void announce() {
        for (Gateway g : gateways) {
            List<ListedUpstream> list = list();
            int starts = g.starts;
            schedule(random.nextInt(1, HEARTBEAT_MS), () -> {
                if (g.starts == starts) {
                    handle(g, new GatewayEvent.UpstreamsUpdated(received(list)));
                }
            });
        }
    }

    private List<ListedUpstream> received(List<ListedUpstream> list) {
        return list.stream().map(l -> entry(l, l.coldRemaining())).toList();
    }

    private ListedUpstream entry(ListedUpstream l, Optional<Duration> cold) {
        return new ListedUpstream(
                l.id(), "s", l.host(), l.port(), l.zone(), l.slots(), false, l.startedMillis(), cold, nowMs * MS);
    }

    private List<ListedUpstream> list() {
        List<ListedUpstream> list = new ArrayList<>();
        for (Upstream u : upstreams) {
            if (u.upFromMs <= nowMs) {
                Duration cold = Duration.ofMillis(Math.max(0, u.coldUntilMs - nowMs));
                ListedUpstream bare = new ListedUpstream(u.id, "s", "10.0.0.1", 80, "z", 8, false, u.instance * 1_000L);
                list.add(entry(bare, Optional.of(cold)));
            }
        }
        return list;
    }

    void simulate() {
        for (nowMs = 1; nowMs < END_MS; nowMs++) {
            double due = plan.requestsPerSecond() / SECOND_MS;
            while (due > 0 && random.nextDouble() < due) {
                arrive();
                due--;
            }
            while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                tasks.poll().task().run();
            }
            for (int g = 0; g < gateways.size(); g++) {
                if (nowMs % TICK_MS == g % TICK_MS) {
                    handle(gateways.get(g), new GatewayEvent.Tick());
                }
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
        long id = nextId++;
        arrivedById.put(id, nowMs);
        long now = nowMs * MS;
        GatewayRequest request =
                new GatewayRequest(id, route, "s", "t", 0, 0, 0, List.of(), Duration.ZERO, now, now + TIMEOUT_MS * MS);
        handle(gateways.get(random.nextInt(plan.working())), new GatewayEvent.RequestArrived(request));
    }

    private void handle(Gateway g, GatewayEvent event) {
        for (GatewayAction action : g.dispatcher.handle(event, nowMs * MS)) {
            switch (action) {
                case GatewayAction.SendAttempt s -> send(g, s);
                case GatewayAction.DeliverResponse d -> served++;
                case GatewayAction.RefuseRequest r -> {
                    failed++;
                    refusedLate += arrivedById.get(r.request()) + TICK_MS < nowMs ? 1 : 0;
                }
                case GatewayAction.ReportHeldBack h -> held++;
                default -> {
                    // Not part of what is checked.
                }
            }
        }
    }

    private void send(Gateway g, GatewayAction.SendAttempt s) {
        Upstream u = upstreams.get(Integer.parseInt(s.upstream().id().substring(1)));
        int starts = g.starts;
        long sentMs = nowMs;
        int delayMs = random.nextInt(1, plan.maxDelayMs() + 1);
        schedule(delayMs, () -> {
            boolean isListening = nowMs >= u.upFromMs && s.upstream().startedMillis() == u.instance * 1_000L;
            if (!isListening) {
                end(g, starts, s, new AttemptOutcome.Unreached());
                return;
            }
            int instance = u.instance;
            recordArrival(u, sentMs);
            schedule(RESPONSE_MS, () -> {
                if (u.instance != instance) {
                    end(g, starts, s, new AttemptOutcome.Broken(Reason.CONNECTION_LOST));
                    return;
                }
                if (g.starts == starts) {
                    Duration cold = Duration.ofMillis(Math.max(0, u.coldUntilMs - nowMs));
                    handle(g, new GatewayEvent.ColdReported(s.upstream(), cold));
                }
                end(g, starts, s, new AttemptOutcome.Completed(200));
            });
        });
    }

    private void end(Gateway g, int starts, GatewayAction.SendAttempt s, AttemptOutcome outcome) {
        schedule(1, () -> {
            if (g.starts == starts) {
                handle(g, new GatewayEvent.AttemptEnded(s.attempt(), outcome));
            } else {
                failed++;
            }
        });
    }

    private void recordArrival(Upstream u, long sentMs) {
        if (nowMs >= u.coldUntilMs) {
            return;
        }
        toCold++;
        u.arrivals.add(new Arrival(sentMs, nowMs));
        int within = (int) u.arrivals.stream()
                .filter(a -> a.sentMs() > nowMs - SECOND_MS && a.arrivedMs() > nowMs - SECOND_MS)
                .count();
        maxWithinSecond = Math.max(maxWithinSecond, within);
        if (within > plan.maxArrivals()) {
            crashes++;
            u.instance++;
            u.upFromMs = nowMs + RESTART_MS;
            u.coldUntilMs = u.upFromMs + COLD_MS;
            u.arrivals.clear();
            schedule(RESTART_MS, this::announce);
        }
    }

    private void schedule(long ms, Runnable task) {
        tasks.add(new ScheduledTask(nowMs + ms, order++, task));
    }
}
