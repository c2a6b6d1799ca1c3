package org.citrontide.core.costing;

import java.time.Duration;
import java.util.Map;

import org.citrontide.core.routes.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against loads that don't follow the work of the requests, and against state that grows without bound. */
final class WorkEstimatorTest {
    private static final long MS = Duration.ofMillis(1).toNanos();
    private static final EngineProfile ENGINE =
            new EngineProfile(7, 100_000, 4.84, 0.62, 0, 74_800, 7, 161, 800, 0, 0, 0, 0, 1, 1);

    private final WorkEstimator estimator =
            new WorkEstimator(new PlacementSettings(PlacementSettings.Rule.EXPECTED_COST, true));
    private final UpstreamWork upstream = new UpstreamWork();

    @Test
    void countedRequestsIgnoreWhatTheyCost() {
        WorkEstimator counted = new WorkEstimator(PlacementSettings.COUNTED);
        counted.setEngines(Map.of("e", ENGINE));
        upstream.add(counted.estimate(stream(2_900, 7_000)).start(0));
        upstream.add(counted.estimate(plain("r", "t")).start(0));
        assertEquals(3, counted.estimate(stream(1, 7)).loadWith(upstream, 50 * MS));
    }

    @Test
    void requestsOfAPlainServiceCountAlikeWithoutSamples() {
        upstream.add(estimator.estimate(plain("r", "t")).start(0));
        assertEquals(2 * 60, estimator.estimate(plain("q", "t")).loadWith(upstream, 0), 1);
    }

    @Test
    void routesAndTeamsAreLearnedSeparatelyWhereTheyDiffer() {
        learn(plain("short", "a"), 20);
        learn(plain("long", "a"), 200);
        learn(plain("long", "b"), 800);
        assertEquals(20, cost(plain("short", "a")), 2);
        assertEquals(20, cost(plain("short", "unseen")), 2);
        assertEquals(200, cost(plain("long", "a")), 10);
        assertEquals(800, cost(plain("long", "b")), 40);
        assertEquals(500, cost(plain("long", "unseen")), 50);
        assertEquals(340, cost(plain("unseen", "a")), 50);
    }

    @Test
    void theWorkLeftOfAStreamFallsWithEachEvent() {
        estimator.setEngines(Map.of("e", ENGINE));
        PendingWork work = estimator.estimate(stream(0, 70)).start(0);
        upstream.add(work);
        assertEquals(10, upstream.left(0), 0.1);
        for (int i = 0; i < 5; i++) {
            work.recordEvent();
        }
        assertEquals(5, upstream.left(0), 0.1);
        upstream.remove(work);
        assertEquals(0, upstream.left(0));
    }

    @Test
    void aPromptCountsUntilItIsRead() {
        estimator.setEngines(Map.of("e", ENGINE));
        PendingWork work = estimator.estimate(stream(2_900, 7_000)).start(0);
        upstream.add(work);
        WorkEstimate next = estimator.estimate(stream(0, 7));
        double unread = next.loadWith(upstream, 0);
        work.recordEvent();
        // 2,900 tokens take 39 ms; one more stream takes 4.34 ms of each pass.
        assertEquals(8.9, unread - next.loadWith(upstream, 0), 0.1);
    }

    @Test
    void falseAnnouncementsOfARouteAreCorrected() {
        estimator.setEngines(Map.of("e", ENGINE));
        for (int i = 0; i < 64; i++) {
            PendingWork work = estimator.estimate(stream(0, 700)).start(0);
            for (int n = 0; n < 10; n++) {
                work.recordEvent();
            }
            estimator.recordEnded(stream(0, 700), work, MS);
        }
        assertEquals(10, estimator.estimate(stream(0, 700)).start(0).expected(), 0.5);
    }

    @Test
    void theRelativeLatencyDoesNotDependOnTheCostOfTheRequests() {
        learn(plain("short", ""), 20);
        learn(plain("long", ""), 200);
        PendingWork shortWork = estimator.estimate(plain("short", "")).start(0);
        PendingWork longWork = estimator.estimate(plain("long", "")).start(0);
        assertEquals(60, estimator.latencyMillis(plain("short", ""), shortWork, 20 * MS), 5);
        assertEquals(60, estimator.latencyMillis(plain("long", ""), longWork, 200 * MS), 5);
    }

    @Test
    void theNumberOfDistributionsIsBounded() {
        CostModel model = new CostModel(1);
        for (int i = 0; i < 5_000; i++) {
            model.record(plain("r" + i, "t" + i), 1, i);
        }
        assertTrue(model.size() <= 512);
    }

    private void learn(CostedRequest request, long millis) {
        for (int i = 0; i < 64; i++) {
            estimator.recordEnded(request, estimator.estimate(request).start(0), millis * MS);
        }
    }

    private double cost(CostedRequest request) {
        return estimator.estimate(request).start(0).expected();
    }

    private static CostedRequest plain(String route, String team) {
        return new CostedRequest("p", route, team, 0, 0);
    }

    private static CostedRequest stream(int promptTokens, int completionTokens) {
        return new CostedRequest("e", "r", "t", promptTokens, completionTokens);
    }
}
