package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ColdRule;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.core.warmup.ColdSettings;
import org.citrontide.core.warmup.TurnOrder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that wait for a cold upstream in vain, and against repeated attempts beyond its limit. */
final class ColdUpstreamDispatchTest {
    private static final long MS = 1_000_000;
    private static final int START_MS = 100_000;
    private static final int TIMEOUT_MS = 8_000;

    private final GatewayDispatcher dispatcher = new GatewayDispatcher(
            "z",
            Map.of(),
            () -> RetryBudgets.createInService(0.2, 120),
            new SplittableRandom(1),
            new ColdSettings(1.5, 5));
    private long nowMs = START_MS;
    private long nextId = 1;

    @BeforeEach
    void setUp() {
        handle(new GatewayEvent.ColdRulesUpdated(Map.of("s", new ColdRule(Duration.ofSeconds(3), 2))));
        handle(new GatewayEvent.TurnsUpdated(TurnOrder.of(0, 1, 1, 0, TurnOrder.SETTLING)));
    }

    @Test
    void aWarmUpstreamTakesWhatAColdOneDoesNot() {
        list(entry("cold", 3_000), entry("warm", 0));
        List<GatewayAction> actions = new ArrayList<>();
        for (; nowMs < START_MS + 2_000; nowMs += 20) {
            actions.addAll(arrive());
            actions.addAll(handle(new GatewayEvent.Tick()));
        }
        long toCold = sent(actions).stream()
                .filter(s -> s.upstream().id().equals("cold"))
                .count();
        assertEquals(100, sent(actions).size());
        assertEquals(4, toCold, 1);
        assertFalse(actions.stream().anyMatch(a -> a instanceof GatewayAction.ReportHeldBack));
    }

    @Test
    void aRequestWaitsForTheNextTurnAndIsCountedOnce() {
        list(entry("cold", 3_000));
        List<GatewayAction> held = arrive();
        assertEquals(1, held.size());
        assertInstanceOf(GatewayAction.ReportHeldBack.class, held.getFirst());
        List<GatewayAction> actions = tickUntil(START_MS + 600);
        assertEquals(1, sent(actions).size());
        assertFalse(actions.stream().anyMatch(a -> a instanceof GatewayAction.ReportHeldBack));
    }

    @Test
    void aWaitingRequestIsSentAsSoonAsAWarmUpstreamIsListed() {
        list(entry("cold", 3_000));
        arrive();
        list(entry("cold", 3_000), entry("warm", 0));
        nowMs += 50;
        assertEquals(
                "warm",
                sent(handle(new GatewayEvent.Tick())).getFirst().upstream().id());
    }

    @Test
    void aWaitingRequestIsSentWhenTheUpstreamSaysThatItIsWarm() {
        handle(new GatewayEvent.TurnsUpdated(TurnOrder.of(0, 20, 1, 0, TurnOrder.SETTLING)));
        list(entry("cold", 500));
        assertEquals(1, arrive().size());
        handle(new GatewayEvent.ColdReported(entry("cold", 0), Duration.ZERO));
        assertEquals(1, sent(tickUntil(START_MS + 900)).size());
    }

    @Test
    void requestsThatGetNoTurnInTimeAreRefusedAtOnceWithTheTimeOfATurn() {
        list(entry("cold", 3_000));
        List<Verdict.NotRun> refusals = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            arrive().stream()
                    .filter(a -> a instanceof GatewayAction.RefuseRequest)
                    .map(a -> (Verdict.NotRun) ((GatewayAction.RefuseRequest) a).verdict())
                    .forEach(refusals::add);
        }
        assertEquals(16, refusals.size(), 1);
        for (Verdict.NotRun r : refusals) {
            assertEquals(Reason.OVERLOADED, r.reason());
            assertTrue(r.retryAfter().compareTo(Duration.ofMillis(1_500)) > 0, r.toString());
        }
        List<GatewayAction> actions = tickUntil(START_MS + 2_500);
        assertEquals(20 - refusals.size(), sent(actions).size(), "each that waits gets a turn");
    }

    @Test
    void aRepeatedAttemptWaitsForATurnAndUsesIt() {
        list(entry("a", 3_000), entry("b", 3_000));
        nowMs += 600;
        GatewayAction.SendAttempt first = sent(arrive()).getFirst();
        GatewayAction.SendAttempt second = sent(arrive()).getFirst();
        assertFalse(first.upstream().id().equals(second.upstream().id()));
        AttemptOutcome lost = new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
        List<GatewayAction> actions = handle(new GatewayEvent.AttemptEnded(first.attempt(), lost));
        assertEquals(0, sent(actions).size(), "no turn is left");
        actions = tickUntil(nowMs + 550);
        assertEquals(second.upstream().id(), sent(actions).getFirst().upstream().id());
    }

    private List<GatewayAction> tickUntil(long untilMs) {
        List<GatewayAction> actions = new ArrayList<>();
        while (nowMs < untilMs) {
            nowMs += 50;
            actions.addAll(handle(new GatewayEvent.Tick()));
        }
        return actions;
    }

    private List<GatewayAction> arrive() {
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
        long now = nowMs * MS;
        return handle(new GatewayEvent.RequestArrived(new GatewayRequest(
                nextId++, route, "s", "t", 0, 0, 0, List.of(), Duration.ZERO, now, now + TIMEOUT_MS * MS)));
    }

    private void list(ListedUpstream... upstreams) {
        handle(new GatewayEvent.UpstreamsUpdated(List.of(upstreams)));
    }

    private List<GatewayAction> handle(GatewayEvent event) {
        return dispatcher.handle(event, nowMs * MS);
    }

    private static List<GatewayAction.SendAttempt> sent(List<GatewayAction> actions) {
        return actions.stream()
                .filter(a -> a instanceof GatewayAction.SendAttempt)
                .map(a -> (GatewayAction.SendAttempt) a)
                .toList();
    }

    private static ListedUpstream entry(String id, int coldMs) {
        return new ListedUpstream(
                id, "s", "10.0.0.1", 80, "z", 4, false, 1, Optional.of(Duration.ofMillis(coldMs)), START_MS * MS);
    }
}
