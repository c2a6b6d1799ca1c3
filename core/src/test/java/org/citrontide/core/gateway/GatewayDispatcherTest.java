package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the handling of upstream faults, group outages and slow upstreams. */
final class GatewayDispatcherTest {
    private static final long MS = 1_000_000;
    private static final AttemptOutcome FULL = new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.FULL);
    private static final AttemptOutcome GROUP_BROKEN =
            new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.GROUP_BROKEN);
    private static final GatewayAction DOWN = new GatewayAction.ReportGroupState("s", true, 0);
    private static final AttemptOutcome BROKEN = new AttemptOutcome.Broken(Reason.CONNECTION_LOST);

    private final GatewayDispatcher dispatcher =
            new GatewayDispatcher("z1", () -> RetryBudgets.createInService(0.2, 12 * 3), new SplittableRandom(1));
    // Upstreams count as active for a short time after they were listed.
    private long nowMs = 1000;

    @BeforeEach
    void list() {
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("a", false), upstream("b", false), upstream("c", false))));
        nowMs += 500;
    }

    @Test
    void anAtMostOnceRequestIsNotRetriedAfterItMayHaveRun() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.AT_MOST_ONCE));
        GatewayAction end = only(end(first, BROKEN));
        Verdict v = assertInstanceOf(GatewayAction.RefuseRequest.class, end).verdict();
        assertEquals(new Verdict.MayHaveRun(Reason.CONNECTION_LOST), v);
    }

    @Test
    void anAtMostOnceRequestIsRetriedElsewhereAfterARejection() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.AT_MOST_ONCE));
        GatewayAction.SendAttempt second = send(end(first, FULL));
        assertNotEquals(first.upstream().id(), second.upstream().id());
        GatewayAction end = only(end(second, FULL));
        assertInstanceOf(
                Verdict.NotRun.class,
                assertInstanceOf(GatewayAction.RefuseRequest.class, end).verdict());
    }

    @Test
    void aNotRunVerdictNeverFollowsAnAttemptThatMayHaveRun() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.IDEMPOTENT));
        GatewayAction.SendAttempt second = send(end(first, BROKEN));
        GatewayAction end = only(end(second, FULL));
        assertInstanceOf(
                Verdict.MayHaveRun.class,
                assertInstanceOf(GatewayAction.RefuseRequest.class, end).verdict());
    }

    @Test
    void noRequestReachesMoreUpstreamsThanItsRouteAllows() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.IDEMPOTENT));
        GatewayAction.SendAttempt second = send(end(first, BROKEN));
        assertInstanceOf(GatewayAction.RefuseRequest.class, only(end(second, BROKEN)));
    }

    @Test
    void anUnreachableUpstreamDoesNotCountAsAnAttempt() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.AT_MOST_ONCE));
        GatewayAction.SendAttempt second = send(end(first, new AttemptOutcome.Unreached()));
        GatewayAction.SendAttempt third = send(end(second, new AttemptOutcome.Unreached()));
        assertInstanceOf(GatewayAction.DeliverResponse.class, only(end(third, new AttemptOutcome.Completed(200))));
    }

    @Test
    void anUpstreamFailureIsDeliveredIfTheRequestCannotBeRetried() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.AT_MOST_ONCE));
        assertInstanceOf(GatewayAction.DeliverResponse.class, only(end(first, new AttemptOutcome.Failed(500))));
    }

    @Test
    void aBrokenStreamIsResumedOrElseAborted() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.RESUMABLE));
        handle(new GatewayEvent.ResponseProgress(first.attempt(), true));
        GatewayAction.SendAttempt second = send(end(first, BROKEN));
        assertInstanceOf(GatewayAction.AbortResponse.class, only(end(second, BROKEN)));
    }

    @Test
    void theDeadlineEndsARequestAndCancelsItsAttempt() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.AT_MOST_ONCE));
        nowMs += 4000;
        List<GatewayAction> out = handle(new GatewayEvent.Tick());
        assertEquals(new GatewayAction.CancelAttempt(first.attempt()), out.getFirst());
        Verdict v = assertInstanceOf(GatewayAction.RefuseRequest.class, out.getLast())
                .verdict();
        assertEquals(new Verdict.MayHaveRun(Reason.DEADLINE), v);
        assertEquals(0, dispatcher.openRequests());
    }

    @Test
    void aDrainingUpstreamReceivesNoNewRequests() {
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("a", true), upstream("b", false), upstream("c", true))));
        for (int i = 1; i <= 20; i++) {
            assertEquals(
                    "b",
                    send(arrive(i, Route.RetrySafety.AT_MOST_ONCE)).upstream().id());
        }
    }

    @Test
    void withoutUpstreamsARequestIsRefusedImmediatelyWithARetryDelay() {
        handle(new GatewayEvent.UpstreamsUpdated(List.of()));
        GatewayAction.RefuseRequest r =
                assertInstanceOf(GatewayAction.RefuseRequest.class, only(arrive(1, Route.RetrySafety.AT_MOST_ONCE)));
        Verdict.NotRun v = assertInstanceOf(Verdict.NotRun.class, r.verdict());
        assertTrue(v.retryAfter().toMillis() > 0 && v.retryAfter().toMillis() <= 4000 / 3, "" + v.retryAfter());
    }

    @Test
    void aRejectionByABrokenGroupIsNotRetriedOnOtherMembers() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.RESUMABLE));
        assertEquals(List.of(DOWN), end(first, GROUP_BROKEN), "the request waits for the group");
        nowMs += 1400;
        GatewayAction.RefuseRequest r =
                assertInstanceOf(GatewayAction.RefuseRequest.class, only(handle(new GatewayEvent.Tick())));
        assertInstanceOf(Verdict.NotRun.class, r.verdict());
        assertEquals(0, dispatcher.openRequests());
    }

    @Test
    void aBrokenGroupIsProbedByFewRequestsWhileOthersWait() {
        end(send(arrive(1, Route.RetrySafety.RESUMABLE)), GROUP_BROKEN);
        int sent = 0;
        for (int id = 2; id <= 101; id++) {
            nowMs += 10;
            for (GatewayAction a : arrive(id, Route.RetrySafety.RESUMABLE)) {
                sent++;
                end(assertInstanceOf(GatewayAction.SendAttempt.class, a), GROUP_BROKEN);
            }
        }
        assertTrue(sent >= 2 && sent <= 4, sent + " requests sent in a second");
    }

    @Test
    void waitingRequestsAreSentMostUrgentFirstWhenTheGroupRecovers() {
        end(send(arrive(1, Route.RetrySafety.RESUMABLE, 2)), GROUP_BROKEN);
        nowMs += 10;
        GatewayAction.SendAttempt probe = send(arrive(2, Route.RetrySafety.RESUMABLE, 2));
        assertEquals(List.of(), arrive(3, Route.RetrySafety.RESUMABLE, 2));
        nowMs += 20;
        assertEquals(List.of(), arrive(4, Route.RetrySafety.RESUMABLE, 2));
        assertEquals(List.of(), arrive(5, Route.RetrySafety.RESUMABLE, 0));
        List<GatewayAction> out = handle(new GatewayEvent.ResponseProgress(probe.attempt(), true));
        assertEquals(new GatewayAction.ReportGroupState("s", false, 4), out.getFirst());
        List<Long> order = out.stream()
                .skip(1)
                .map(a -> assertInstanceOf(GatewayAction.SendAttempt.class, a)
                        .request()
                        .id())
                .toList();
        assertEquals(List.of(5L, 4L, 3L, 1L), order);
    }

    @Test
    void aMemberOfABrokenGroupIsAvoidedWhileOthersOfItsServiceRespond() {
        GatewayAction.SendAttempt active = send(arrive(1, Route.RetrySafety.RESUMABLE));
        GatewayAction.SendAttempt rejected = send(arrive(2, Route.RetrySafety.RESUMABLE));
        handle(new GatewayEvent.ResponseProgress(active.attempt(), true));
        GatewayAction.SendAttempt elsewhere = send(end(rejected, GROUP_BROKEN));
        assertNotEquals(rejected.upstream().id(), elsewhere.upstream().id());
        for (int id = 3; id <= 8; id++) {
            assertNotEquals(
                    rejected.upstream().id(),
                    send(arrive(id, Route.RetrySafety.RESUMABLE)).upstream().id());
        }
    }

    @Test
    void requestsAreRefusedInsteadOfQueuedInALongOutage() {
        assertEquals(List.of(DOWN), end(send(arrive(1, Route.RetrySafety.RESUMABLE)), GROUP_BROKEN));
        nowMs += 1500;
        handle(new GatewayEvent.Tick());
        nowMs += 8000;
        GatewayAction.SendAttempt probe = send(arrive(2, Route.RetrySafety.RESUMABLE));
        assertInstanceOf(GatewayAction.RefuseRequest.class, only(end(probe, GROUP_BROKEN)));
        GatewayAction.RefuseRequest r =
                assertInstanceOf(GatewayAction.RefuseRequest.class, only(arrive(3, Route.RetrySafety.RESUMABLE)));
        assertInstanceOf(Verdict.NotRun.class, r.verdict());
    }

    @Test
    void withoutAnOutageLateRequestsAreSentImmediatelyWithALowerRank() {
        for (int id = 1; id <= 5; id++) {
            assertEquals(3, send(arriveLate(id)).admissionRank());
        }
        assertEquals(0, send(arrive(6, Route.RetrySafety.RESUMABLE)).admissionRank());
    }

    @Test
    void afterAnOutagePendingLateRequestsAreLimited() {
        end(send(arrive(10, Route.RetrySafety.RESUMABLE)), GROUP_BROKEN);
        nowMs += 10;
        GatewayAction.SendAttempt probe = send(arrive(11, Route.RetrySafety.RESUMABLE));
        handle(new GatewayEvent.ResponseProgress(probe.attempt(), true));
        GatewayAction.SendAttempt first = send(arriveLate(1));
        GatewayAction.SendAttempt second = send(arriveLate(2));
        assertEquals(List.of(), arriveLate(3), "two late requests have not started");
        send(arrive(4, Route.RetrySafety.RESUMABLE));
        GatewayAction.SendAttempt third = send(handle(new GatewayEvent.ResponseProgress(first.attempt(), true)));
        assertEquals(3, third.request().id());
        assertEquals(List.of(), arriveLate(5));
        List<GatewayAction> out = end(second, new AttemptOutcome.Completed(200));
        assertInstanceOf(GatewayAction.DeliverResponse.class, out.getFirst());
        assertEquals(
                5,
                assertInstanceOf(GatewayAction.SendAttempt.class, out.getLast())
                        .request()
                        .id());
    }

    @Test
    void longGapsTriggerSpeedQueriesAndASlowUpstreamIsAvoided() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.RESUMABLE));
        GatewayAction.SendAttempt second = send(arrive(2, Route.RetrySafety.RESUMABLE));
        List<GatewayAction> actions = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nowMs += 300;
            actions.addAll(handle(new GatewayEvent.ResponseProgress(first.attempt(), true)));
            actions.addAll(handle(new GatewayEvent.ResponseProgress(second.attempt(), true)));
            if (!actions.isEmpty()) {
                break;
            }
        }
        GatewayAction.QuerySpeeds query = assertInstanceOf(GatewayAction.QuerySpeeds.class, only(actions));
        assertEquals(3, query.upstreams().size());
        String slow = first.upstream().id();
        List<GatewayAction> out = handle(new GatewayEvent.ReportReceived(slow, 4, true));
        assertEquals(new GatewayAction.CancelAttempt(first.attempt()), out.getFirst());
        assertNotEquals(
                slow,
                assertInstanceOf(GatewayAction.SendAttempt.class, out.getLast())
                        .upstream()
                        .id());
        for (int id = 3; id <= 8; id++) {
            assertNotEquals(
                    slow,
                    send(arrive(id, Route.RetrySafety.RESUMABLE)).upstream().id());
        }
        handle(new GatewayEvent.ReportReceived(slow, 1, true));
        assertEquals(
                slow, send(arrive(9, Route.RetrySafety.RESUMABLE)).upstream().id());
    }

    @Test
    void shortGapsTriggerNoSpeedQueries() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.RESUMABLE));
        for (int i = 0; i < 50; i++) {
            nowMs += 60;
            assertEquals(List.of(), handle(new GatewayEvent.ResponseProgress(first.attempt(), true)));
        }
    }

    @Test
    void aResponseToAnAttemptSentBeforeTheOutageDoesNotEndIt() {
        GatewayAction.SendAttempt old = send(arrive(1, Route.RetrySafety.RESUMABLE));
        end(send(arrive(2, Route.RetrySafety.RESUMABLE)), GROUP_BROKEN);
        assertEquals(List.of(), handle(new GatewayEvent.ResponseProgress(old.attempt(), true)));
    }

    @Test
    void aWaitingRequestIsRemovedWhenItsCallerDisconnects() {
        end(send(arrive(1, Route.RetrySafety.RESUMABLE)), GROUP_BROKEN);
        assertEquals(List.of(), handle(new GatewayEvent.CallerDisconnected(1)));
        nowMs += 5000;
        assertEquals(List.of(), handle(new GatewayEvent.Tick()));
        assertEquals(0, dispatcher.openRequests());
    }

    @Test
    void aStartedStreamIsAbortedImmediatelyWhenItsGroupBreaks() {
        GatewayAction.SendAttempt first = send(arrive(1, Route.RetrySafety.RESUMABLE));
        handle(new GatewayEvent.ResponseProgress(first.attempt(), true));
        nowMs += 500;
        GatewayAction.SendAttempt second = send(end(first, BROKEN));
        List<GatewayAction> out = end(second, GROUP_BROKEN);
        assertEquals(DOWN, out.getFirst());
        assertInstanceOf(GatewayAction.AbortResponse.class, out.getLast());
    }

    @Test
    void aStalledStreamIsResumedElsewhereOnlyWhileOthersProgress() {
        GatewayAction.SendAttempt stalled = send(arrive(1, Route.RetrySafety.RESUMABLE));
        GatewayAction.SendAttempt active = send(arrive(2, Route.RetrySafety.RESUMABLE));
        assertNotEquals(stalled.upstream().id(), active.upstream().id());
        nowMs += 1000;
        assertEquals(List.of(), handle(new GatewayEvent.Tick()), "all streams are stalled: the whole group pauses");
        handle(new GatewayEvent.ResponseProgress(active.attempt(), true));
        List<GatewayAction> out = handle(new GatewayEvent.Tick());
        assertEquals(new GatewayAction.CancelAttempt(stalled.attempt()), out.getFirst());
        assertInstanceOf(GatewayAction.SendAttempt.class, out.getLast());
    }

    // Guards against streams that are run again elsewhere because their callers read slowly.
    @Test
    void aStreamThatIsNotReadBecauseItsCallerIsSlowIsNotTakenForStalled() {
        GatewayAction.SendAttempt paused = send(arrive(1, Route.RetrySafety.RESUMABLE));
        GatewayAction.SendAttempt active = send(arrive(2, Route.RetrySafety.RESUMABLE));
        handle(new GatewayEvent.ReadingPaused(paused.attempt(), true));
        nowMs += 1000;
        handle(new GatewayEvent.ResponseProgress(active.attempt(), true));
        assertEquals(List.of(), handle(new GatewayEvent.Tick()));
        handle(new GatewayEvent.ReadingPaused(paused.attempt(), false));
        assertEquals(List.of(), handle(new GatewayEvent.Tick()), "the time of the pause doesn't count");
        nowMs += 1000;
        handle(new GatewayEvent.ResponseProgress(active.attempt(), true));
        List<GatewayAction> out = handle(new GatewayEvent.Tick());
        assertEquals(new GatewayAction.CancelAttempt(paused.attempt()), out.getFirst());
    }

    @Test
    void requestQueuedAtBusyUpstreamIsNotSentElsewhereAsIfLost() {
        for (int i = 1; i <= 30; i++) {
            GatewayAction.SendAttempt s = send(arrive(i, Route.RetrySafety.RESUMABLE));
            nowMs += 600;
            handle(new GatewayEvent.ResponseProgress(s.attempt(), true));
            end(s, new AttemptOutcome.Completed(200));
        }
        GatewayAction.SendAttempt queued = send(arrive(31, Route.RetrySafety.RESUMABLE));
        GatewayAction.SendAttempt active = send(arrive(32, Route.RetrySafety.RESUMABLE));
        assertNotEquals(queued.upstream().id(), active.upstream().id());
        nowMs += 1000;
        handle(new GatewayEvent.ResponseProgress(active.attempt(), true));
        assertEquals(List.of(), handle(new GatewayEvent.Tick()), "first events take 600 ms at present");
        nowMs += 1000;
        handle(new GatewayEvent.ResponseProgress(active.attempt(), true));
        assertEquals(
                new GatewayAction.CancelAttempt(queued.attempt()),
                handle(new GatewayEvent.Tick()).getFirst());
    }

    @Test
    void requestsSpreadEvenlyOverEqualUpstreams() {
        List<String> chosen = new ArrayList<>();
        for (int i = 1; i <= 30; i++) {
            chosen.add(
                    send(arrive(i, Route.RetrySafety.AT_MOST_ONCE)).upstream().id());
        }
        for (String id : List.of("a", "b", "c")) {
            assertEquals(10, chosen.stream().filter(id::equals).count(), "upstream " + id);
        }
    }

    @Test
    void aFailingUpstreamReceivesFewerRequests() {
        for (int i = 1; i <= 30; i++) {
            GatewayAction.SendAttempt s = send(arrive(i, Route.RetrySafety.AT_MOST_ONCE));
            end(s, s.upstream().id().equals("a") ? BROKEN : new AttemptOutcome.Completed(200));
        }
        int toFailing = 0;
        for (int i = 31; i <= 60; i++) {
            GatewayAction.SendAttempt s = send(arrive(i, Route.RetrySafety.AT_MOST_ONCE));
            toFailing += s.upstream().id().equals("a") ? 1 : 0;
        }
        assertTrue(toFailing <= 8, toFailing + " of 30 to the failing upstream");
    }

    private List<GatewayAction> arriveLate(long id) {
        return arrive(id, Route.RetrySafety.RESUMABLE, 0, Duration.ofSeconds(1));
    }

    private List<GatewayAction> arrive(long id, Route.RetrySafety retrySafety) {
        return arrive(id, retrySafety, 0);
    }

    private List<GatewayAction> arrive(long id, Route.RetrySafety retrySafety, int rank) {
        return arrive(id, retrySafety, rank, Duration.ZERO);
    }

    private List<GatewayAction> arrive(long id, Route.RetrySafety retrySafety, int rank, Duration waited) {
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                retrySafety,
                retrySafety == Route.RetrySafety.RESUMABLE,
                Duration.ofSeconds(4),
                Duration.ofMillis(300),
                retrySafety == Route.RetrySafety.RESUMABLE ? Duration.ofMillis(120) : Duration.ZERO,
                2,
                0,
                false);
        return handle(new GatewayEvent.RequestArrived(new GatewayRequest(
                id, route, "s", "t", rank, 0, 0, List.of(), waited, nowMs * MS, (nowMs + 4000) * MS)));
    }

    private List<GatewayAction> end(GatewayAction.SendAttempt s, AttemptOutcome outcome) {
        return handle(new GatewayEvent.AttemptEnded(s.attempt(), outcome));
    }

    private List<GatewayAction> handle(GatewayEvent e) {
        return dispatcher.handle(e, nowMs * MS);
    }

    private static GatewayAction.SendAttempt send(List<GatewayAction> out) {
        return assertInstanceOf(GatewayAction.SendAttempt.class, only(out));
    }

    private static GatewayAction only(List<GatewayAction> out) {
        assertEquals(1, out.size(), () -> out.toString());
        return out.getFirst();
    }

    private static ListedUpstream upstream(String id, boolean draining) {
        return new ListedUpstream(id, "s", "10.0.0.1", 80, "z1", 4, draining, 0);
    }
}
