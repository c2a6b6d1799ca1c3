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

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays requests at gateways that are killed and started again while upstreams fail. Guards against retries of several
 * processes of one VM that together exceed the budget of all gateways,
 * and against shares for an unknown number of them.
 */
final class RetryBudgetRestartTest {
    private static final long MS = 1_000_000;
    private static final int SEEDS = 200;
    private static final int END_MS = 60_000;
    private static final int TIMEOUT_MS = 4_000;
    private static final int WINDOW_MS = 10_000;
    private static final double RATIO = 0.2;
    private static final double SLACK = 92;

    private record ScheduledTask(long atMs, long order, Runnable task) {}

    @ParameterizedTest
    @CsvSource({
        // gateways, requests per s
        "1, 30",
        "8, 7",
        "8, 30",
        "9, 60",
        "49, 60"
    })
    void restartsInSeriesDoNotRenewTheBudget(int gateways, double rate) {
        int retries = 0;
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Simulation s = new Simulation(gateways, rate, true, seed);
            s.planRestarts();
            s.simulate();
            s.findExcess().ifPresent(e -> broken.add("seed " + s.seed + ": " + e));
            retries += s.totalRetries();
        }
        assertEquals(List.of(), broken, () -> broken.size() + " of " + SEEDS + " seeds");
        assertTrue(retries > SEEDS * 10, retries + " retries");
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 39})
    void gatewaysThatNeverLearnOfEachOtherStayWithinTheSlack(int gateways) {
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Simulation s = new Simulation(gateways, 60, false, seed);
            s.simulate();
            s.findExcess().ifPresent(e -> broken.add("seed " + s.seed + ": " + e));
        }
        assertEquals(List.of(), broken, () -> broken.size() + " of " + SEEDS + " seeds");
    }

    /** A VM with the gateway that runs on it, if any. */
    private static final class Vm {
        private Optional<GatewayDispatcher> gateway = Optional.empty();
        private int generation;
    }

    /** A simulation in virtual time that sees only requests of callers and arrivals at upstreams. */
    private static final class Simulation {
        private final long seed;
        private final double rate;
        private final boolean isStoreReadable;
        private final SplittableRandom random;
        private final List<Vm> vms = new ArrayList<>();
        private final List<ListedUpstream> upstreams = new ArrayList<>();
        private final int failure;
        private final Map<Long, Integer> arrivals = new HashMap<>();
        private final int[] requestsBefore = new int[END_MS + 1];
        private final int[] retriesBefore = new int[END_MS + 1];
        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
        private int nowMs;
        private long order;
        private long nextId = 1;

        private Simulation(int gateways, double rate, boolean isStoreReadable, long seed) {
            this.seed = seed;
            this.rate = rate;
            this.isStoreReadable = isStoreReadable;
            random = new SplittableRandom(seed);
            failure = random.nextInt(4);
            for (int u = 0; u < 12; u++) {
                upstreams.add(new ListedUpstream("u" + u, "s", "10.0.0.1", 80, "z", 8, false, 0));
            }
            for (int g = 0; g < gateways; g++) {
                Vm vm = new Vm();
                vms.add(vm);
                startGateway(vm);
            }
        }

        private void planRestarts() {
            int times = 1 + random.nextInt(3);
            int kind = random.nextInt(3);
            int atMs = 15_000 + random.nextInt(10_000);
            for (int round = 0; round < times; round++) {
                for (int g = 0; g < vms.size(); g++) {
                    Vm vm = vms.get(g);
                    if (kind == 0 || kind == 1 && random.nextInt(3) > 0) {
                        schedule(atMs + random.nextInt(300), () -> restart(vm));
                    } else if (kind == 2) {
                        schedule(atMs + g * 8_000 / vms.size(), () -> restart(vm));
                    }
                }
                atMs += 1_000 + random.nextInt(9_000);
            }
        }

        private void restart(Vm vm) {
            vm.generation++;
            vm.gateway = Optional.empty();
            schedule(100 + random.nextInt(900), () -> startGateway(vm));
        }

        private void startGateway(Vm vm) {
            long startNanos = nowMs * MS;
            RetrySlackShare share = new RetrySlackShare(SLACK);
            GatewayDispatcher d = new GatewayDispatcher("z", () -> createBudget(share, startNanos), random.split());
            d.handle(new GatewayEvent.UpstreamsUpdated(upstreams), nowMs * MS);
            vm.gateway = Optional.of(d);
            if (isStoreReadable) {
                schedule(random.nextInt(3_000), () -> share.setGatewayCount(vms.size()));
            }
        }

        private static GatewayRetryBudget createBudget(RetrySlackShare share, long startNanos) {
            return new GatewayRetryBudget(RATIO, Duration.ofMillis(WINDOW_MS), share, startNanos);
        }

        private void simulate() {
            for (nowMs = 0; nowMs < END_MS; nowMs++) {
                requestsBefore[nowMs + 1] = requestsBefore[nowMs];
                retriesBefore[nowMs + 1] = retriesBefore[nowMs];
                while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
                    tasks.poll().task().run();
                }
                if (random.nextDouble() < rate / 1000) {
                    arrive();
                }
                if (nowMs % 50 == 0) {
                    vms.forEach(vm -> handle(vm, new GatewayEvent.Tick()));
                }
            }
        }

        private int totalRetries() {
            return retriesBefore[END_MS];
        }

        /** Returns the largest excess of any window, if there is one. */
        private Optional<String> findExcess() {
            double worst = 0;
            Optional<String> excess = Optional.empty();
            for (int from = WINDOW_MS; from + WINDOW_MS <= END_MS; from++) {
                int retries = retriesBefore[from + WINDOW_MS] - retriesBefore[from];
                int requests = 0;
                for (int start = from - WINDOW_MS; start <= from; start += WINDOW_MS / 2) {
                    requests = Math.max(requests, requestsBefore[start + WINDOW_MS] - requestsBefore[start]);
                }
                double allowed = RATIO * requests + SLACK;
                if (retries - allowed > worst) {
                    worst = retries - allowed;
                    excess = Optional.of("from " + from + " ms " + retries + " retries, " + allowed + " allowed");
                }
            }
            return excess;
        }

        private void arrive() {
            requestsBefore[nowMs + 1]++;
            Vm vm = vms.get(random.nextInt(vms.size()));
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    List.of(new Route.Split("s", 1)),
                    Route.RetrySafety.IDEMPOTENT,
                    false,
                    Duration.ofMillis(TIMEOUT_MS),
                    Duration.ofMillis(1_000),
                    Duration.ZERO,
                    3,
                    0,
                    false);
            handle(
                    vm,
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

        private void handle(Vm vm, GatewayEvent event) {
            if (vm.gateway.isEmpty()) {
                return;
            }
            for (GatewayAction action : vm.gateway.get().handle(event, nowMs * MS)) {
                if (action instanceof GatewayAction.SendAttempt s) {
                    reach(vm, s);
                }
            }
        }

        private void reach(Vm vm, GatewayAction.SendAttempt s) {
            if (arrivals.merge(s.request().id(), 1, Integer::sum) > 1) {
                retriesBefore[nowMs + 1]++;
            }
            int generation = vm.generation;
            schedule(5 + random.nextInt(40), () -> {
                if (vm.generation == generation) {
                    handle(vm, new GatewayEvent.AttemptEnded(s.attempt(), outcome()));
                }
            });
        }

        private AttemptOutcome outcome() {
            return switch (failure == 3 ? random.nextInt(4) : failure) {
                case 0 -> new AttemptOutcome.Failed(500);
                case 1 -> new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.FULL);
                case 2 -> new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
                default -> new AttemptOutcome.Completed(200);
            };
        }

        private void schedule(long ms, Runnable task) {
            tasks.add(new ScheduledTask(nowMs + ms, order++, task));
        }
    }
}
