package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests where requests go while upstreams have asked this gateway to leave them alone. */
final class UpstreamBackoffDispatchTest {
    private static final long MS = 1_000_000;
    private static final int DEADLINE_MS = 4000;
    private static final AttemptOutcome BROKEN = new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
    private static final ListedUpstream A = upstream("a", 0);
    private static final ListedUpstream B = upstream("b", 0);

    private final GatewayDispatcher dispatcher =
            new GatewayDispatcher("z1", () -> RetryBudgets.createInService(0.2, 12 * 30), new SplittableRandom(1));
    private long nowMs = 1000;
    private long nextRequest = 1;

    @BeforeEach
    void listBoth() {
        list(A, B);
        nowMs += 500;
    }

    @Test
    void noRequestOfAnyKindGoesToAnUpstreamUntilItsTimeIsOver() {
        backOff(A, 3000);
        Set<String> reached = new HashSet<>();
        for (int i = 0; i < 290; i++) {
            nowMs += 10;
            reached.add(
                    send(arrive(Route.RetrySafety.values()[i % 3])).upstream().id());
        }
        assertEquals(Set.of("b"), reached);
        nowMs += 101;
        assertTrue(reachesWithin(20, "a"), "the upstream is used again");
    }

    @Test
    void aRetryOrResumeDoesNotGoThere() {
        GatewayAction.SendAttempt first = send(arrive(Route.RetrySafety.RESUMABLE));
        ListedUpstream other = first.upstream().equals(A) ? B : A;
        handle(new GatewayEvent.ResponseProgress(first.attempt(), true));
        backOff(other, 1000);
        List<GatewayAction> out = end(first, BROKEN);
        assertTrue(out.stream().noneMatch(a -> a instanceof GatewayAction.SendAttempt), out.toString());
    }

    @Test
    void aLaterAnswerLengthensTheTimeButDoesNotShortenIt() {
        assertTrue(backOff(A, 2000).contains(new GatewayAction.ReportBackoff(A, Duration.ofMillis(2000))));
        nowMs += 100;
        assertEquals(List.of(), backOff(A, 500));
        assertEquals(List.of(), backOff(A, 0));
        nowMs += 1500;
        assertFalse(reachesWithin(50, "a"));
        backOff(A, 2000);
        nowMs += 1900;
        assertFalse(reachesWithin(20, "a"));
        nowMs += 200;
        assertTrue(reachesWithin(20, "a"));
    }

    @Test
    void theTimeHoldsForTheInstanceAlthoughItsEntryVanishesAndComesBack() {
        backOff(A, 3000);
        list(B);
        list(A, B);
        assertFalse(reachesWithin(50, "a"));
        list(upstream("a", 7), B);
        assertTrue(reachesWithin(50, "a"), "the upstream has started again");
    }

    @Test
    void anAttemptThatWasNotWrittenYetGoesElsewhere() {
        GatewayAction.SendAttempt toA = sendTo(A);
        GatewayAction.SendAttempt toB = sendTo(B);
        List<GatewayAction> out = backOff(A, 1000);
        assertTrue(out.contains(new GatewayAction.WithdrawAttempt(toA.attempt())), out.toString());
        assertFalse(out.contains(new GatewayAction.WithdrawAttempt(toB.attempt())), out.toString());
        assertEquals(
                "b", send(end(toA, new AttemptOutcome.Withdrawn())).upstream().id());
    }

    @Test
    void whileAllAreAwayARequestThatCannotWaitIsRefusedAtOnceWithTheTimeToComeBack() {
        backOff(A, 60_000);
        backOff(B, 1900);
        Verdict.NotRun v = refusal(arrive(Route.RetrySafety.AT_MOST_ONCE));
        // A caller waits for at most a third of its time.
        assertTrue(v.retryAfter().toMillis() >= 1300 && v.retryAfter().toMillis() <= DEADLINE_MS / 3, "" + v);
        assertEquals(0, dispatcher.openRequests());
    }

    @Test
    void whileAllAreAwayARequestThatCanWaitIsSentWhenTheFirstOneIsBack() {
        backOff(A, 60_000);
        backOff(B, 800);
        assertEquals(List.of(), arrive(Route.RetrySafety.AT_MOST_ONCE));
        nowMs += 700;
        assertEquals(List.of(), handle(new GatewayEvent.Tick()));
        nowMs += 101;
        assertEquals("b", send(handle(new GatewayEvent.Tick())).upstream().id());
    }

    @Test
    void aNewUpstreamTakesTheRequestsThatWait() {
        backOff(A, 60_000);
        backOff(B, 1000);
        assertEquals(List.of(), arrive(Route.RetrySafety.AT_MOST_ONCE));
        List<GatewayAction> out =
                new ArrayList<>(handle(new GatewayEvent.UpstreamsUpdated(List.of(A, B, upstream("c", 0)))));
        out.addAll(handle(new GatewayEvent.Tick()));
        assertEquals("c", send(out).upstream().id());
    }

    private boolean reachesWithin(int requests, String id) {
        boolean isReached = false;
        for (int i = 0; i < requests; i++) {
            GatewayAction.SendAttempt s = send(arrive(Route.RetrySafety.IDEMPOTENT));
            isReached |= s.upstream().id().equals(id);
        }
        return isReached;
    }

    private GatewayAction.SendAttempt sendTo(ListedUpstream upstream) {
        while (true) {
            GatewayAction.SendAttempt s = send(arrive(Route.RetrySafety.IDEMPOTENT));
            if (s.upstream().equals(upstream)) {
                return s;
            }
        }
    }

    private List<GatewayAction> backOff(ListedUpstream u, long ms) {
        return handle(new GatewayEvent.BackoffRequested(u, Duration.ofMillis(ms)));
    }

    private void list(ListedUpstream... upstreams) {
        handle(new GatewayEvent.UpstreamsUpdated(List.of(upstreams)));
    }

    private List<GatewayAction> end(GatewayAction.SendAttempt sent, AttemptOutcome outcome) {
        return handle(new GatewayEvent.AttemptEnded(sent.attempt(), outcome));
    }

    private static GatewayAction.SendAttempt send(List<GatewayAction> out) {
        assertEquals(1, out.size(), out.toString());
        return assertInstanceOf(GatewayAction.SendAttempt.class, out.getFirst());
    }

    private static Verdict.NotRun refusal(List<GatewayAction> out) {
        assertEquals(1, out.size(), out.toString());
        Verdict v = assertInstanceOf(GatewayAction.RefuseRequest.class, out.getFirst())
                .verdict();
        return assertInstanceOf(Verdict.NotRun.class, v);
    }

    private List<GatewayAction> arrive(Route.RetrySafety retrySafety) {
        boolean isStreaming = retrySafety == Route.RetrySafety.RESUMABLE;
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                retrySafety,
                isStreaming,
                Duration.ofMillis(DEADLINE_MS),
                Duration.ofMillis(300),
                isStreaming ? Duration.ofMillis(120) : Duration.ZERO,
                2,
                0,
                false);
        return handle(new GatewayEvent.RequestArrived(new GatewayRequest(
                nextRequest++,
                route,
                "s",
                "t",
                0,
                0,
                0,
                List.of(),
                Duration.ZERO,
                nowMs * MS,
                (nowMs + DEADLINE_MS) * MS)));
    }

    private List<GatewayAction> handle(GatewayEvent e) {
        return dispatcher.handle(e, nowMs * MS);
    }

    private static ListedUpstream upstream(String id, long startedMillis) {
        return new ListedUpstream(id, "s", "10.0.0.1", 80, "z1", 4, false, startedMillis);
    }
}
