package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.citrontide.core.costing.CostedRequest;
import org.citrontide.core.costing.PendingWork;
import org.citrontide.core.costing.PlacementReport;
import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.costing.WorkEstimator;
import org.citrontide.core.routes.EngineProfile;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.warmup.ColdSettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a dispatcher that doesn't tell the estimator about the work of its attempts. */
final class ExpectedCostDispatchTest {
    private static final long MS = 1_000_000;
    private static final EngineProfile ENGINE =
            new EngineProfile(7, 100_000, 4.84, 0.62, 0, 74_800, 7, 161, 800, 0, 0, 0, 0, 1, 1);
    private static final PlacementSettings EXPECTED_COST =
            new PlacementSettings(PlacementSettings.Rule.EXPECTED_COST, true);

    private GatewayDispatcher dispatcher = create(EXPECTED_COST);
    private long nowMs = 100_000;
    private long nextId = 1;

    @Test
    void aStreamGoesToTheRankWhoseStreamsAreAboutToEnd() {
        list(2);
        GatewayAction.SendAttempt ending = arrive(0, 140);
        GatewayAction.SendAttempt fresh = arrive(0, 140);
        assertNotEquals(ending.upstream(), fresh.upstream());
        progress(fresh);
        for (int i = 0; i < 19; i++) {
            progress(ending);
        }
        for (int i = 0; i < 4; i++) {
            GatewayAction.SendAttempt next = arrive(0, 140);
            assertEquals(ending.upstream(), next.upstream());
            end(next, new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.UNACCEPTABLE));
        }
    }

    @Test
    void aStreamAvoidsTheRankThatReadsALongPrompt() {
        list(2);
        GatewayAction.SendAttempt prompt = arrive(2_900, 140);
        GatewayAction.SendAttempt first = arrive(0, 140);
        GatewayAction.SendAttempt second = arrive(0, 140);
        assertNotEquals(prompt.upstream(), first.upstream());
        assertEquals(first.upstream(), second.upstream());
    }

    @Test
    void theWorkOfAnAttemptThatEndedIsRemoved() {
        list(1);
        GatewayAction.SendAttempt sent = arrive(0, 140);
        progress(sent);
        end(sent, new AttemptOutcome.Completed(200));
        GatewayAction.SendAttempt rejected = arrive(0, 140);
        end(rejected, new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.UNACCEPTABLE));
        nowMs += 6_000;
        arrive(0, 140);
        PlacementReport report = reports(tick()).getLast();
        assertEquals(0, report.remainingWork());
        assertEquals(0, report.inFlight());
        assertEquals(1, report.responses());
        assertEquals(20, report.expectedSum(), 1);
        assertEquals(1, report.observedSum());
    }

    @Test
    void onePlacementInSomeSecondsIsReported() {
        list(2);
        List<GatewayAction> actions = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            arrive(0, 140);
            nowMs += 100;
            actions.addAll(tick());
        }
        assertEquals(2, reports(actions).size());
    }

    @Test
    void countedRequestsAreNotReported() {
        dispatcher = create(PlacementSettings.COUNTED);
        list(2);
        arrive(0, 140);
        assertTrue(reports(tick()).isEmpty());
    }

    // Prints the time of a decision, which the specification limits to 2 us; the time itself is not checked.
    @Test
    void aDecisionAmongManyUpstreamsIsMeasured() {
        for (PlacementSettings settings : List.of(PlacementSettings.COUNTED, EXPECTED_COST)) {
            for (int perUpstream : new int[] {0, 1, 4}) {
                System.out.printf(
                        "%s attempts-per-upstream=%d ns-per-decision=%d%n",
                        settings.rule(), perUpstream, measure(settings, perUpstream));
            }
        }
    }

    private static long measure(PlacementSettings settings, int perUpstream) {
        WorkEstimator estimator = new WorkEstimator(settings);
        estimator.setEngines(Map.of("s", ENGINE));
        CostedRequest request = new CostedRequest("s", "r", "t", 800, 161);
        for (int i = 0; i < 100; i++) {
            estimator.recordEnded(request, estimator.estimate(request).start(0), 0);
        }
        UpstreamRegistry registry = new UpstreamRegistry();
        registry.replaceAll(entries(72), 0);
        for (UpstreamState u : registry.ofService("s")) {
            for (int i = 0; i < perUpstream; i++) {
                PendingWork work = estimator.estimate(request).start(0);
                u.recordAttemptSent(work, SendSlots.UNKNOWN, 0);
            }
        }
        UpstreamSelector selector = new UpstreamSelector("z", new SplittableRandom(1));
        long best = Long.MAX_VALUE;
        int rounds = 20_000;
        for (int batch = 0; batch < 10; batch++) {
            long start = System.nanoTime();
            for (int i = 0; i < rounds; i++) {
                selector.select(registry.ofService("s"), Set.of(), estimator.estimate(request), i);
            }
            best = Math.min(best, (System.nanoTime() - start) / rounds);
        }
        return best;
    }

    private static GatewayDispatcher create(PlacementSettings settings) {
        GatewayDispatcher created = new GatewayDispatcher(
                "z",
                Map.of(),
                () -> RetryBudgets.createInService(0.2, 120),
                new SplittableRandom(1),
                ColdSettings.STRICT,
                settings);
        created.handle(new GatewayEvent.EngineProfilesUpdated(Map.of("s", ENGINE)), 0);
        return created;
    }

    private static List<ListedUpstream> entries(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new ListedUpstream("u" + i, "s", "h", 1 + i, "z", 7, false, 0))
                .toList();
    }

    private void list(int count) {
        handle(new GatewayEvent.UpstreamsUpdated(entries(count)));
    }

    private GatewayAction.SendAttempt arrive(int promptTokens, int completionTokens) {
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                Route.RetrySafety.AT_MOST_ONCE,
                true,
                Duration.ofSeconds(30),
                Duration.ofMillis(400),
                Duration.ofMillis(120),
                1,
                0,
                true);
        long now = nowMs * MS;
        GatewayRequest request = new GatewayRequest(
                nextId++,
                route,
                "s",
                "t",
                0,
                promptTokens,
                completionTokens,
                List.of(),
                Duration.ZERO,
                now,
                now + 30_000 * MS);
        return handle(new GatewayEvent.RequestArrived(request)).stream()
                .filter(a -> a instanceof GatewayAction.SendAttempt)
                .map(a -> (GatewayAction.SendAttempt) a)
                .findFirst()
                .orElseThrow();
    }

    private void progress(GatewayAction.SendAttempt sent) {
        handle(new GatewayEvent.ResponseProgress(sent.attempt(), true));
    }

    private void end(GatewayAction.SendAttempt sent, AttemptOutcome outcome) {
        handle(new GatewayEvent.AttemptEnded(sent.attempt(), outcome));
    }

    private List<GatewayAction> tick() {
        return handle(new GatewayEvent.Tick());
    }

    private static List<PlacementReport> reports(List<GatewayAction> actions) {
        return actions.stream()
                .filter(a -> a instanceof GatewayAction.ReportPlacement)
                .map(a -> ((GatewayAction.ReportPlacement) a).report())
                .toList();
    }

    private List<GatewayAction> handle(GatewayEvent event) {
        return dispatcher.handle(event, nowMs * MS);
    }
}
