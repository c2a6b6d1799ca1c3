package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.citrontide.core.quarantine.CrashEvidence;
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

/** Tests how a dispatcher treats the requests in flight at an upstream that crashes, and those in quarantine. */
final class CrashGuardTest {
    private static final long MS = 1_000_000;
    private static final AttemptOutcome BROKEN = new AttemptOutcome.Broken(Reason.CONNECTION_LOST);

    private final GatewayDispatcher dispatcher =
            new GatewayDispatcher("z1", () -> RetryBudgets.createInService(0.2, 120), new SplittableRandom(1));
    private final List<CrashEvidence> evidence = new ArrayList<>();
    private long nowMs = 1000;
    private long lastId;

    @BeforeEach
    void list() {
        handle(new GatewayEvent.UpstreamsUpdated(List.of(upstream("a"), upstream("b"), upstream("c"))));
    }

    @Test
    void aRequestThatMayHaveCrashedItsUpstreamIsNotSentToAnother() {
        GatewayAction.SendAttempt first = send(arrive("a1", "bad"));
        assertEquals(List.of(new GatewayAction.CheckUpstream(first.upstream())), end(first, BROKEN));
        List<GatewayAction> out = handle(new GatewayEvent.UpstreamChecked(first.upstream(), true));
        assertEquals(
                new GatewayAction.PublishEvidence(new CrashEvidence.Crash(
                        first.upstream().instanceKey(), nowMs * MS, List.of(List.of("a1", "bad")))),
                out.getFirst());
        Verdict verdict = assertInstanceOf(GatewayAction.RefuseRequest.class, out.getLast())
                .verdict();
        assertEquals(new Verdict.MayHaveRun(Reason.CONNECTION_LOST), verdict);
    }

    @Test
    void aRequestWhoseUpstreamStillListensIsRetried() {
        GatewayAction.SendAttempt first = send(arrive("a1", "bad"));
        end(first, BROKEN);
        GatewayAction.SendAttempt second = send(handle(new GatewayEvent.UpstreamChecked(first.upstream(), false)));
        assertNotEquals(first.upstream().id(), second.upstream().id());
    }

    @Test
    void aRequestThatMayNotRunAgainIsAnsweredWithoutWaitingForTheCheck() {
        GatewayAction.SendAttempt first = send(arrive(Route.RetrySafety.AT_MOST_ONCE, "a1", "bad"));
        List<GatewayAction> out = end(first, BROKEN);
        assertEquals(new GatewayAction.CheckUpstream(first.upstream()), out.getFirst());
        assertInstanceOf(GatewayAction.RefuseRequest.class, out.getLast());
    }

    @Test
    void aRequestWhosePartsWereAnsweredBeforeIsRetriedAtOnce() {
        answer(send(arrive("a1")));
        GatewayAction.SendAttempt first = send(arrive("a1"));
        List<GatewayAction> out = end(first, BROKEN);
        assertEquals(new GatewayAction.CheckUpstream(first.upstream()), out.getFirst());
        assertInstanceOf(GatewayAction.SendAttempt.class, out.getLast());
    }

    @Test
    void aRequestThatWasBeingAnsweredIsNoReasonForACheck() {
        GatewayAction.SendAttempt first = send(arrive("a1"));
        handle(new GatewayEvent.ResponseProgress(first.attempt(), true));
        nowMs += 250;
        handle(new GatewayEvent.ResponseProgress(first.attempt(), true));
        send(end(first, BROKEN));
    }

    @Test
    void requestsWithAQuarantinedPartAreRefusedAtOnceAndCancelledIfTheirAnswerHasNotBegun() {
        GatewayAction.SendAttempt pending = send(arrive("a1", "bad"));
        GatewayAction.SendAttempt started = send(arrive("a2", "bad"));
        handle(new GatewayEvent.ResponseProgress(started.attempt(), true));
        GatewayAction.SendAttempt sound = send(arrive("a1"));
        nowMs += 100;

        List<GatewayAction> out = crash("u1", nowMs - 5000, "u2", nowMs);
        assertEquals(
                List.of(
                        new GatewayAction.CancelAttempt(pending.attempt()),
                        new GatewayAction.RefuseRequest(
                                pending.request().id(), new Verdict.MayHaveRun(Reason.PROMPT_QUARANTINED))),
                out.subList(1, out.size()));

        GatewayAction.RefuseRequest refusal =
                assertInstanceOf(GatewayAction.RefuseRequest.class, only(arrive("a3", "bad")));
        assertEquals(new Verdict.NotRun(Reason.PROMPT_QUARANTINED, Duration.ofMinutes(10)), refusal.verdict());
        assertInstanceOf(GatewayAction.DeliverResponse.class, only(end(sound, new AttemptOutcome.Completed(200))));
    }

    @Test
    void aRequestThatWaitsForItsGroupIsRefusedOnceItsPartIsQuarantined() {
        GatewayAction.SendAttempt probe = send(arrive("a1"));
        nowMs += 400;
        end(probe, new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.GROUP_BROKEN));
        send(arrive("a2"));
        assertEquals(List.of(), arrive("a3", "bad"), "waits");
        List<GatewayAction> out = crash("u1", nowMs - 5000, "u2", nowMs);
        Verdict verdict = assertInstanceOf(GatewayAction.RefuseRequest.class, out.getLast())
                .verdict();
        assertInstanceOf(Verdict.NotRun.class, verdict);
    }

    @Test
    void anAnswerToASuspectedPartIsPublishedOnce() {
        GatewayAction.SendAttempt first = send(arrive("a1"));
        GatewayAction.SendAttempt second = send(arrive("a1"));
        evidence.add(new CrashEvidence.Crash("u1", nowMs * MS, List.of(List.of("a1"))));
        handle(new GatewayEvent.CrashEvidenceUpdated(evidence));
        nowMs += 300;
        assertTrue(
                answer(first).contains(new GatewayAction.PublishEvidence(new CrashEvidence.Answer("a1", nowMs * MS))));
        assertEquals(1, answer(second).size());
    }

    /** Reports two crashes in which a prompt with the part "bad" was in flight. */
    private List<GatewayAction> crash(String first, long firstMs, String second, long secondMs) {
        evidence.add(new CrashEvidence.Crash(first, firstMs * MS, List.of(List.of("x", "bad"))));
        evidence.add(new CrashEvidence.Crash(second, secondMs * MS, List.of(List.of("y", "bad"))));
        return handle(new GatewayEvent.CrashEvidenceUpdated(evidence));
    }

    private List<GatewayAction> answer(GatewayAction.SendAttempt s) {
        return end(s, new AttemptOutcome.Completed(200));
    }

    private List<GatewayAction> arrive(String... parts) {
        return arrive(Route.RetrySafety.RESUMABLE, parts);
    }

    private List<GatewayAction> arrive(Route.RetrySafety retrySafety, String... parts) {
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                retrySafety,
                true,
                Duration.ofSeconds(8),
                Duration.ofMillis(400),
                Duration.ofMillis(120),
                3,
                0,
                false);
        return handle(new GatewayEvent.RequestArrived(new GatewayRequest(
                ++lastId, route, "s", "t", 0, 0, 0, List.of(parts), Duration.ZERO, nowMs * MS, (nowMs + 8000) * MS)));
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
        assertEquals(1, out.size(), out::toString);
        return out.getFirst();
    }

    private static ListedUpstream upstream(String id) {
        return new ListedUpstream(id, "s", "10.0.0.1", 80, "z1", 4, false, 0);
    }
}
