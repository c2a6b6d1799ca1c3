package org.citrontide.core.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.citrontide.core.costing.CostedRequest;
import org.citrontide.core.costing.PendingWork;
import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.costing.WorkEstimator;
import org.citrontide.core.routes.EngineProfile;
import org.citrontide.core.routes.ListedUpstream;

/**
 * Gateways that place the requests of one service in virtual time, with the selector and the estimator of the gateway.
 *
 * <p>The upstreams are plain services with slots and a queue, or the members of a group that runs passes together.
 */
final class PlacementSimulation {
    /** How an upstream is chosen. */
    enum Rule {
        /** The default of the gateway. */
        COUNTED,
        /** The same with the latency of an upstream relative to the cost of its requests. */
        COUNTED_RELATIVE,
        /** By expected cost, with the latency as measured. */
        EXPECTED_MEASURED,
        /** By expected cost, with the relative latency. */
        EXPECTED,
        RANDOM,
        /** The one with the fewest requests in flight of two that are drawn. */
        TWO_CHOICES,
        /** Knows each cost and what all gateways have sent. */
        ORACLE;

        boolean isSelector() {
            return ordinal() <= EXPECTED.ordinal();
        }

        PlacementSettings settings() {
            return switch (this) {
                case EXPECTED -> new PlacementSettings(PlacementSettings.Rule.EXPECTED_COST, true);
                case EXPECTED_MEASURED -> new PlacementSettings(PlacementSettings.Rule.EXPECTED_COST, false);
                case COUNTED_RELATIVE -> new PlacementSettings(PlacementSettings.Rule.COUNTED_REQUESTS, true);
                default -> PlacementSettings.COUNTED;
            };
        }
    }

    /**
     * What is simulated.
     *
     * @param isGroup whether the upstreams form a group
     * @param utilization fraction of the slots that is busy on average, at equal speeds
     * @param slowFactor duration of the work of the first upstream relative to the others
     * @param speedSpread largest deviation of the other upstreams' durations from their mean
     * @param hintSpread standard deviation of the logarithm of announced over true length
     * @param hintBias factor of the announced lengths on one of two routes
     */
    record Scenario(
            boolean isGroup,
            int gateways,
            int upstreams,
            int slots,
            double utilization,
            double slowFactor,
            double speedSpread,
            double hintSpread,
            double hintBias) {

        static Scenario plain(int gateways, int upstreams, double utilization, double slowFactor, double spread) {
            return new Scenario(false, gateways, upstreams, 6, utilization, slowFactor, spread, 0, 1);
        }

        static Scenario group(int gateways, int upstreams, double utilization, double hintSpread, double hintBias) {
            return new Scenario(true, gateways, upstreams, 7, utilization, 1, 0, hintSpread, hintBias);
        }

        @Override
        public String toString() {
            return "%s gateways=%d upstreams=%d utilization=%.2f slow=%.1f speeds=%.1f hints=%.1f bias=%.0f"
                    .formatted(
                            isGroup ? "group" : "plain",
                            gateways,
                            upstreams,
                            utilization,
                            slowFactor,
                            speedSpread,
                            hintSpread,
                            hintBias);
        }
    }

    /** What the callers saw. */
    record Result(
            double onTime, double onTimeLargest, double onTimeSmallest, double p50, double p99, double imbalance) {

        @Override
        public String toString() {
            return "on-time=%.4f largest-tenth=%.4f smallest-half=%.4f p50=%.0f p99=%.0f most-over-mean=%.2f"
                    .formatted(onTime, onTimeLargest, onTimeSmallest, p50, p99, imbalance);
        }
    }

    private static final long MS = 1_000_000;
    private static final double SECONDS = 90;
    private static final double WARM_UP_SECONDS = 10;
    private static final double[] ROUTE_MEAN_MS = {24, 96};
    private static final double MAX_PLAIN_MS = 450;
    private static final double MEAN_PASSES = 23;
    // A standard deviation of the length as large as its mean, as observed (0.7 to 1.5).
    private static final double LENGTH_SIGMA = 0.83;
    private static final double PASS_TOKENS = 7;
    private static final double TOKENS_PER_MS = 74.8;
    private static final int MAX_ATTEMPTS = 3;
    private static final int PLAIN_TARGET_MS = 300;
    private static final int FIRST_EVENT_MS = 400;
    private static final int GAP_MS = 120;
    private static final EngineProfile ENGINE =
            new EngineProfile(7, 100_000, 4.84, 0.62, 0, 74_800, 7, 161, 800, 0, 0, 0, 0, 1, 1);

    private final class Request {
        final Gateway gateway;
        final CostedRequest shape;
        final double cost;
        final long arrived;
        final Set<String> tried = new HashSet<>();
        PendingWork work;
        UpstreamState seen;
        Server server;
        long lastEvent;
        int events;
        boolean isLate;

        Request(Gateway gateway, CostedRequest shape, double cost, long arrived) {
            this.gateway = gateway;
            this.shape = shape;
            this.cost = cost;
            this.arrived = arrived;
        }
    }

    private static final class Server {
        double slowness = 1;
        final ArrayDeque<Request> queue = new ArrayDeque<>();
        final List<Request> running = new ArrayList<>();
        final List<Long> ends = new ArrayList<>();
        double work;
    }

    private final class Gateway {
        final UpstreamRegistry registry = new UpstreamRegistry();
        final UpstreamSelector selector = new UpstreamSelector("z", random.split());
        final WorkEstimator estimator;

        Gateway(PlacementSettings settings) {
            estimator = new WorkEstimator(settings);
            if (scenario.isGroup()) {
                estimator.setEngines(Map.of("s", ENGINE));
            }
        }
    }

    private record Event(long at, long order, Runnable action) {}

    private record Sample(double cost, double ms, boolean isOnTime) {}

    private final Scenario scenario;
    private final Rule rule;
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<Sample> samples = new ArrayList<>();
    private double imbalanceSum;
    private int imbalanceCount;
    private long now;
    private long nextOrder;

    private PlacementSimulation(Scenario scenario, Rule rule, boolean isEstimating, long seed) {
        this.scenario = scenario;
        this.rule = rule;
        this.random = new SplittableRandom(seed);
        PlacementSettings settings = isEstimating ? rule.settings() : PlacementSettings.COUNTED;
        List<ListedUpstream> listed = IntStream.range(0, scenario.upstreams())
                .mapToObj(i -> new ListedUpstream("u" + i, "s", "h", 1 + i, "z", scenario.slots(), false, 0))
                .toList();
        for (int i = 0; i < scenario.upstreams(); i++) {
            Server s = new Server();
            s.slowness =
                    i == 0 ? scenario.slowFactor() : 1 + scenario.speedSpread() * (2.0 * i / scenario.upstreams() - 1);
            servers.add(s);
        }
        for (int i = 0; i < scenario.gateways(); i++) {
            Gateway g = new Gateway(settings);
            g.registry.replaceAll(listed, 0);
            gateways.add(g);
        }
    }

    /** Plays a scenario with several seeds; the same seeds draw the same requests for all rules. */
    static Result run(Scenario scenario, Rule rule, boolean isEstimating, int seeds) {
        PlacementSimulation all = new PlacementSimulation(scenario, rule, isEstimating, 0);
        for (int seed = 1; seed <= seeds; seed++) {
            PlacementSimulation one = new PlacementSimulation(scenario, rule, isEstimating, seed);
            one.play(new SplittableRandom(1000 + seed));
            all.samples.addAll(one.samples);
            all.imbalanceSum += one.imbalanceSum;
            all.imbalanceCount += one.imbalanceCount;
        }
        return all.result();
    }

    private void play(SplittableRandom load) {
        double perSecond = scenario.utilization() * scenario.upstreams() * scenario.slots() / meanSeconds();
        double[] shares = new double[scenario.gateways()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += 1 / Math.sqrt(i + 1);
            shares[i] = sum;
        }
        double at = 0;
        while (at < SECONDS) {
            at += -Math.log(1 - load.nextDouble()) / perSecond;
            double point = load.nextDouble() * sum;
            int g = 0;
            while (shares[g] < point) {
                g++;
            }
            Request request = draw(load, gateways.get(g), (long) (at * 1e9));
            schedule(request.arrived, () -> send(request));
        }
        if (scenario.isGroup()) {
            schedule(0, this::startPass);
        }
        while (!events.isEmpty()) {
            Event e = events.poll();
            now = e.at();
            e.action().run();
        }
    }

    private double meanSeconds() {
        if (!scenario.isGroup()) {
            return (ROUTE_MEAN_MS[0] + ROUTE_MEAN_MS[1]) / 2 / 1000;
        }
        return MEAN_PASSES * passMs(scenario.utilization() * scenario.slots(), 800) / 1000;
    }

    private static double passMs(double running, double promptTokens) {
        return PASS_TOKENS * (4.84 + 0.62 * running) + promptTokens / TOKENS_PER_MS;
    }

    private Request draw(SplittableRandom load, Gateway gateway, long at) {
        int kind = load.nextInt(2);
        double gauss = load.nextGaussian();
        double other = load.nextGaussian();
        double prompt = load.nextDouble();
        double bias = kind == 0 ? 1 : scenario.hintBias();
        if (!scenario.isGroup()) {
            double ms = Math.min(MAX_PLAIN_MS, ROUTE_MEAN_MS[kind] * Math.exp(0.6 * gauss - 0.18));
            return new Request(gateway, new CostedRequest("s", "r" + kind, "", 0, 0), ms, at);
        }
        double passes =
                Math.max(1, Math.round(MEAN_PASSES * Math.exp(LENGTH_SIGMA * gauss - LENGTH_SIGMA * LENGTH_SIGMA / 2)));
        int hint = (int) Math.max(PASS_TOKENS, PASS_TOKENS * passes * bias * Math.exp(scenario.hintSpread() * other));
        int tokens = (int) Math.min(2900, 100 - 750 * Math.log(1 - prompt));
        return new Request(gateway, new CostedRequest("s", "r" + kind, "", tokens, hint), passes, at);
    }

    private void schedule(long at, Runnable action) {
        events.add(new Event(at, nextOrder++, action));
    }

    private void send(Request r) {
        Optional<UpstreamState> chosen =
                r.tried.size() >= MAX_ATTEMPTS ? Optional.empty() : choose(r, r.gateway.registry.ofService("s"));
        if (chosen.isEmpty()) {
            record(r, Double.NaN, false);
            return;
        }
        r.seen = chosen.get();
        r.tried.add(r.seen.entry().id());
        r.server = servers.get(r.seen.entry().port() - 1);
        r.work = r.gateway.estimator.estimate(r.shape).start(now);
        r.seen.recordAttemptSent(r.work, SendSlots.UNKNOWN, now);
        int limit = scenario.slots();
        if (r.server.queue.size() >= limit) {
            r.seen.recordAttemptEnded(r.work, false);
            r.seen.recordOutcome(new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.FULL), 0, now);
            send(r);
            return;
        }
        recordImbalance();
        r.server.work += r.cost;
        r.server.queue.add(r);
        if (!scenario.isGroup()) {
            startPlain(r.server);
        }
    }

    private void recordImbalance() {
        double max = servers.stream().mapToDouble(s -> s.work).max().orElseThrow();
        double mean = servers.stream().mapToDouble(s -> s.work).average().orElseThrow();
        if (mean > 0) {
            imbalanceSum += max / mean;
            imbalanceCount++;
        }
    }

    private Optional<UpstreamState> choose(Request r, List<UpstreamState> upstreams) {
        if (rule.isSelector()) {
            return r.gateway.selector.select(upstreams, r.tried, r.gateway.estimator.estimate(r.shape), now);
        }
        List<UpstreamState> open = upstreams.stream()
                .filter(u -> u.isAccepting(now) && !r.tried.contains(u.entry().id()))
                .toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        UpstreamState first = open.get(random.nextInt(open.size()));
        UpstreamState second = open.get(random.nextInt(open.size()));
        return Optional.of(
                switch (rule) {
                    case RANDOM -> first;
                    case TWO_CHOICES -> first.inFlight() <= second.inFlight() ? first : second;
                    default ->
                        open.stream()
                                .min(Comparator.comparingDouble(
                                        u -> trueCost(servers.get(u.entry().port() - 1), r)))
                                .orElseThrow();
                });
    }

    /** Returns when the request would end at a plain upstream, or the load of a rank while it would run there. */
    private double trueCost(Server s, Request r) {
        if (!scenario.isGroup()) {
            double left = s.ends.stream()
                    .mapToDouble(end -> (end - now) / (double) MS)
                    .sum();
            left += s.queue.stream().mapToDouble(q -> q.cost * s.slowness).sum();
            boolean isFree = s.running.size() < scenario.slots();
            return (isFree ? 0 : left / scenario.slots()) + r.cost * s.slowness + left / 1000;
        }
        double streams = s.running.size() + s.queue.size();
        double overlap = s.running.stream()
                        .mapToDouble(x -> Math.min(x.cost - x.events, r.cost))
                        .sum()
                + s.queue.stream()
                        .mapToDouble(x -> Math.min(x.cost, r.cost) + x.shape.promptTokens() / 300.0)
                        .sum();
        return 0.5 * streams + 0.5 * overlap / r.cost;
    }

    private void startPlain(Server s) {
        while (s.running.size() < scenario.slots() && !s.queue.isEmpty()) {
            Request r = s.queue.poll();
            long end = now + (long) (r.cost * s.slowness * MS);
            s.running.add(r);
            s.ends.add(end);
            schedule(end, () -> {
                s.running.remove(r);
                s.ends.remove(end);
                finish(r, (now - r.arrived) / (double) MS <= PLAIN_TARGET_MS);
                startPlain(s);
            });
        }
    }

    private void startPass() {
        double most = 0;
        for (Server s : servers) {
            double prompts = 0;
            while (s.running.size() < scenario.slots() && !s.queue.isEmpty()) {
                Request r = s.queue.poll();
                s.running.add(r);
                prompts += r.shape.promptTokens();
            }
            most = Math.max(most, s.slowness * passMs(s.running.size(), prompts));
        }
        schedule(now + (long) (most * MS), this::endPass);
    }

    private void endPass() {
        for (Server s : servers) {
            for (Request r : List.copyOf(s.running)) {
                double gapMs = (now - (r.events == 0 ? r.arrived : r.lastEvent)) / (double) MS;
                r.isLate |= gapMs > (r.events == 0 ? FIRST_EVENT_MS : GAP_MS);
                r.lastEvent = now;
                r.events++;
                r.work.recordEvent();
                if (r.events >= r.cost) {
                    s.running.remove(r);
                    finish(r, !r.isLate);
                }
            }
        }
        if (now < (SECONDS + 30) * 1e9) {
            startPass();
        }
    }

    private void finish(Request r, boolean isOnTime) {
        r.server.work -= r.cost;
        r.seen.recordAttemptEnded(r.work, false);
        double millis = r.gateway.estimator.latencyMillis(r.shape, r.work, now);
        r.seen.recordOutcome(new AttemptOutcome.Completed(200), millis, now);
        r.gateway.estimator.recordEnded(r.shape, r.work, now);
        record(r, (now - r.arrived) / (double) MS, isOnTime);
    }

    private void record(Request r, double ms, boolean isOnTime) {
        if (r.arrived > WARM_UP_SECONDS * 1e9) {
            samples.add(new Sample(r.cost, Double.isNaN(ms) ? Double.POSITIVE_INFINITY : ms, isOnTime));
        }
    }

    private Result result() {
        List<Sample> byCost = samples.stream()
                .sorted(Comparator.comparingDouble(Sample::cost))
                .toList();
        double[] ms = samples.stream().mapToDouble(Sample::ms).sorted().toArray();
        int n = ms.length;
        return new Result(
                onTime(byCost),
                onTime(byCost.subList(n * 9 / 10, n)),
                onTime(byCost.subList(0, n / 2)),
                ms[n / 2],
                ms[n * 99 / 100],
                imbalanceSum / imbalanceCount);
    }

    private static double onTime(List<Sample> list) {
        return list.stream().filter(Sample::isOnTime).count() / (double) list.size();
    }
}
