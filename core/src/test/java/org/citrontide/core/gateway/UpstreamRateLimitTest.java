package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests when a gateway sends to its only upstream while that has a rate limit of one request per second. */
final class UpstreamRateLimitTest {
    private static final long MS = 1_000_000;
    private static final OptionalDouble ONE_PER_SECOND = OptionalDouble.of(1);
    private static final ListedUpstream UPSTREAM = new ListedUpstream("a", "s", "10.0.0.1", 80, "z1", 4, false, 0);

    private final GatewayDispatcher dispatcher =
            new GatewayDispatcher("z1", () -> RetryBudgets.createInService(0.2, 120), new SplittableRandom(1));
    private long nowMs = 10_000;
    private long lastId;

    @BeforeEach
    void list() {
        handle(new GatewayEvent.UpstreamsUpdated(List.of(UPSTREAM)));
        handle(new GatewayEvent.SlotsUpdated(new SendSlots(0, 1, 0)));
    }

    @Test
    void aRequestWaitsForTheNextSlotAndIsThenSent() {
        nameLimit(send(arrive()));
        send(arrive());
        assertEquals(List.of(), arrive(), "the slot is used");
        nowMs += 999;
        assertEquals(List.of(), handle(new GatewayEvent.Tick()));
        nowMs += 1;
        send(handle(new GatewayEvent.Tick()));
    }

    @Test
    void aRequestIsRefusedAtOnceIfItsSlotComesTooLate() {
        handle(new GatewayEvent.SlotsUpdated(new SendSlots(0, 12, 0)));
        nowMs = 0;
        nameLimit(send(arrive()));
        nowMs = (long) slotOf(0, 12) * 1000;
        send(arrive());
        Verdict verdict = assertInstanceOf(GatewayAction.RefuseRequest.class, only(arrive()))
                .verdict();
        assertEquals(
                Reason.OVERLOADED,
                assertInstanceOf(Verdict.NotRun.class, verdict).reason());
    }

    @Test
    void aResponseToAnEarlierAttemptDoesNotLiftTheLimit() {
        GatewayAction.SendAttempt early = send(arrive());
        GatewayAction.SendAttempt told = send(arrive());
        nowMs += 20;
        nameLimit(told);
        assertEquals(List.of(), handle(new GatewayEvent.HeadReceived(early.attempt(), OptionalDouble.empty())));
        nowMs += 20;
        GatewayAction.SendAttempt later = send(arrive());
        assertEquals(
                List.of(new GatewayAction.ReportRateLimit(UPSTREAM, OptionalDouble.empty())),
                handle(new GatewayEvent.HeadReceived(later.attempt(), OptionalDouble.empty())));
        send(arrive());
        send(arrive());
    }

    @Test
    void anUpstreamThatIsPausedBrieflyEndsTheWaitForALimit() {
        nameLimit(send(arrive()));
        send(arrive());
        ListedUpstream other = new ListedUpstream("b", "s", "10.0.0.2", 80, "z1", 4, false, 0);
        handle(new GatewayEvent.UpstreamsUpdated(List.of(UPSTREAM, other)));
        GatewayAction.SendAttempt rejected = send(arrive());
        assertEquals("b", rejected.upstream().id());
        handle(new GatewayEvent.AttemptEnded(
                rejected.attempt(), new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.FULL)));
        assertEquals(List.of(), arrive(), "one upstream is limited, the other one is full");
        nowMs += 100;
        assertEquals("b", send(handle(new GatewayEvent.Tick())).upstream().id());
    }

    @Test
    void aRestartedUpstreamHasNoLimit() {
        nameLimit(send(arrive()));
        send(arrive());
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(new ListedUpstream("a", "s", "10.0.0.1", 80, "z1", 4, false, 7))));
        send(arrive());
        send(arrive());
    }

    private void nameLimit(GatewayAction.SendAttempt s) {
        assertEquals(
                List.of(new GatewayAction.ReportRateLimit(UPSTREAM, ONE_PER_SECOND)),
                handle(new GatewayEvent.HeadReceived(s.attempt(), ONE_PER_SECOND)));
    }

    /** Returns the first slot in which the gateway with an index may send to the upstream. */
    private static int slotOf(int index, int count) {
        return (int) new SendSlots(index, count, 0).nextOwn(0, UPSTREAM.id().hashCode());
    }

    private List<GatewayAction> arrive() {
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                Route.RetrySafety.IDEMPOTENT,
                false,
                Duration.ofSeconds(8),
                Duration.ofSeconds(4),
                Duration.ZERO,
                2,
                0,
                false);
        return handle(new GatewayEvent.RequestArrived(new GatewayRequest(
                ++lastId, route, "s", "t", 0, 0, 0, List.of(), Duration.ZERO, nowMs * MS, (nowMs + 8000) * MS)));
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
}
