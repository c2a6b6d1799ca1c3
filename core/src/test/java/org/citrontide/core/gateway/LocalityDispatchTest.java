package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.core.warmup.ColdSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks where a dispatcher sends requests while zones are evacuated, and for routes and teams with home regions. */
final class LocalityDispatchTest {
    private static final long MS = 1_000_000;
    private static final AttemptOutcome FULL = new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.FULL);
    private static final AttemptOutcome GROUP_BROKEN =
            new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.GROUP_BROKEN);
    private static final AttemptOutcome BROKEN = new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
    private static final Set<String> ANY = Set.of();

    private final GatewayDispatcher dispatcher = new GatewayDispatcher(
            "z1",
            Map.of("z1", "north", "z2", "north", "z3", "south"),
            () -> RetryBudgets.createInService(0.2, 12 * 3),
            new SplittableRandom(1),
            ColdSettings.STRICT);
    private long nowMs = 1000;
    private long nextId = 1;

    @BeforeEach
    void list() {
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("a1", "z1"), upstream("a2", "z1"), upstream("b1", "z2"), upstream("c1", "z3"))));
        nowMs += 500;
    }

    // Guards against requests that are sent to an evacuated zone, the gateway's own included.
    @Test
    void twoEvacuatedZonesGetNoRequests() {
        evacuate("z1", "z2");
        assertEquals(Set.of("z3"), zonesOf(40, ANY, ANY));
        evacuate("z2");
        assertEquals(Set.of("z1", "z3"), zonesOf(40, ANY, ANY));
        evacuate();
        assertEquals(Set.of("z1", "z2", "z3"), zonesOf(40, ANY, ANY));
        evacuate("z2");
        assertEquals(Set.of("z1", "z3"), zonesOf(40, ANY, ANY), "evacuated again");
    }

    // Guards against requests that wait although no upstream may get them.
    @Test
    void ifOnlyEvacuatedZonesAreLeftRequestsAreRefusedImmediately() {
        evacuate("z1", "z2", "z3");
        assertRefused(arrive(ANY, ANY));
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("a1", "z1"), new ListedUpstream("d1", "s", "10.0.0.1", 80, "z4", 4, true, 0))));
        assertRefused(arrive(ANY, ANY));
        evacuate();
        assertEquals("a1", send(arrive(ANY, ANY)).upstream().id());
    }

    // Guards against a queue for a broken group that keeps requests without any upstream until they are overdue.
    @Test
    void requestsThatWaitForTheirGroupAreRefusedOnceOnlyEvacuatedZonesAreLeft() {
        assertEquals(1, end(send(arrive(ANY, ANY)), GROUP_BROKEN).size(), "the request waits");
        nowMs += 10;
        List<GatewayAction> out = evacuate("z1", "z2", "z3");
        assertRefused(out);
        assertRefused(arrive(ANY, ANY));
        assertEquals(0, dispatcher.openRequests());
    }

    // Guards against a request that waits for its group although its rejecting member was the last one allowed.
    @Test
    void aRequestRejectedByABrokenGroupIsRefusedIfOnlyEvacuatedZonesAreLeft() {
        GatewayAction.SendAttempt sent = send(arrive(ANY, ANY));
        evacuate("z1", "z2", "z3");
        List<GatewayAction> out = end(sent, GROUP_BROKEN);
        assertInstanceOf(GatewayAction.RefuseRequest.class, out.getLast());
        assertEquals(0, dispatcher.openRequests());
    }

    // Guards against retries and resumed streams that return to an evacuated zone.
    @Test
    void retriesAndResumedStreamsGoElsewhereWhileStartedOnesComplete() {
        List<GatewayAction.SendAttempt> streams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            GatewayAction.SendAttempt s = send(arrive(ANY, ANY));
            handle(new GatewayEvent.ResponseProgress(s.attempt(), true));
            streams.add(s);
        }
        assertEquals(List.of(), evacuate("z1", "z2"), "streams in progress go on");
        int resumed = 0;
        for (GatewayAction.SendAttempt s : streams) {
            if (s.upstream().zone().equals("z1") && resumed < 2) {
                resumed++;
                assertEquals("z3", send(end(s, BROKEN)).upstream().zone());
            } else {
                assertInstanceOf(GatewayAction.DeliverResponse.class, only(end(s, new AttemptOutcome.Completed(200))));
            }
        }
        assertEquals(2, resumed);
        evacuate("z3");
        GatewayAction.SendAttempt rejected = send(arrive(ANY, ANY));
        evacuate("z2", "z3");
        assertEquals("z1", send(end(rejected, FULL)).upstream().zone());
    }

    // Guards against a request that is written to an evacuated zone once its connection is established.
    @Test
    void anUnsentAttemptIsWithdrawnAndPlacedElsewhereWithoutARetry() {
        evacuate("z2", "z3");
        GatewayAction.SendAttempt first = send(arrive(ANY, ANY));
        List<GatewayAction> out = evacuate("z1", "z2");
        assertEquals(List.of(new GatewayAction.WithdrawAttempt(first.attempt())), out);
        GatewayAction.SendAttempt second = send(end(first, new AttemptOutcome.Withdrawn()));
        assertEquals("z3", second.upstream().zone());
        assertEquals(Optional.empty(), second.retry());
        evacuate("z2", "z3");
        GatewayAction.SendAttempt third = send(end(second, new AttemptOutcome.Withdrawn()));
        assertEquals("z1", third.upstream().zone());
        assertEquals(0, dispatcher.retryBudgets(nowMs * MS).get("s").spent());
        evacuate("z1", "z2", "z3");
        GatewayAction.RefuseRequest refusal =
                assertInstanceOf(GatewayAction.RefuseRequest.class, only(end(third, new AttemptOutcome.Withdrawn())));
        assertInstanceOf(Verdict.NotRun.class, refusal.verdict());
    }

    // Guards against an upstream that is avoided after its zone returned because an attempt was withdrawn from it.
    @Test
    void aWithdrawnAttemptDoesNotCountAgainstItsUpstream() {
        evacuate("z2", "z3");
        handle(new GatewayEvent.UpstreamsUpdated(List.of(upstream("a1", "z1"), upstream("c1", "z3"))));
        GatewayAction.SendAttempt first = send(arrive(ANY, ANY));
        evacuate("z1");
        end(first, new AttemptOutcome.Withdrawn());
        evacuate("z3");
        assertEquals("a1", send(arrive(ANY, ANY)).upstream().id());
    }

    // Guards against requests that leave the regions of their route or team, or go to a zone without a region.
    @Test
    void requestsStayInTheRegionsOfRouteAndTeam() {
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("a1", "z1"), upstream("b1", "z2"), upstream("c1", "z3"), upstream("x1", "z9"))));
        assertEquals(Set.of("z1", "z2", "z3", "z9"), zonesOf(60, ANY, ANY));
        assertEquals(Set.of("z1", "z2"), zonesOf(40, Set.of("north"), ANY));
        assertEquals(Set.of("z3"), zonesOf(20, ANY, Set.of("south")));
        assertEquals(Set.of("z1", "z2", "z3"), zonesOf(40, Set.of("north", "south"), ANY));
        assertEquals(Set.of("z3"), zonesOf(20, Set.of("north", "south"), Set.of("south", "east")));
        assertRefused(arrive(Set.of("north"), Set.of("south")));
        assertRefused(arrive(Set.of("east"), ANY));
        evacuate("z3");
        assertRefused(arrive(ANY, Set.of("south")));
    }

    // Guards against a retry outside of the home region.
    @Test
    void aRetryStaysInTheHomeRegion() {
        GatewayAction.SendAttempt first = send(arrive(ANY, Set.of("south")));
        assertInstanceOf(GatewayAction.RefuseRequest.class, only(end(first, FULL)));
        GatewayAction.SendAttempt north = send(arrive(Set.of("north"), ANY));
        GatewayAction.SendAttempt second = send(end(north, FULL));
        assertNotEquals("z3", second.upstream().zone());
    }

    // Guards against the rate limit of one region's upstreams that holds back the requests of all others.
    @Test
    void aRateLimitInTheHomeRegionHoldsBackNoOtherRequests() {
        handle(new GatewayEvent.SlotsUpdated(new SendSlots(0, 1, 0)));
        GatewayAction.SendAttempt first = send(arrive(ANY, Set.of("south")));
        handle(new GatewayEvent.HeadReceived(first.attempt(), OptionalDouble.of(1)));
        end(first, new AttemptOutcome.Completed(200));
        nowMs += 10;
        List<GatewayAction> next = arrive(ANY, Set.of("south"));
        if (!next.isEmpty()) {
            next = arrive(ANY, Set.of("south"));
        }
        assertEquals(List.of(), next, "waits for the limit");
        assertEquals(
                "north",
                Map.of("z1", "north", "z2", "north")
                        .get(send(arrive(Set.of("north"), ANY)).upstream().zone()));
        send(arrive(ANY, ANY));
    }

    // Guards against a group that is taken for stalled because its members in an evacuated zone are not considered.
    @Test
    void aGroupWhoseEvacuatedMembersRespondIsNotTakenForStalled() {
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("g1", "z1"), upstream("g2", "z2"), upstream("h1", "z3"), upstream("h2", "z2"))));
        handle(new GatewayEvent.GroupsUpdated(Map.of("g1", "g", "g2", "g", "h1", "h", "h2", "h")));
        nowMs += 500;
        List<GatewayAction.SendAttempt> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            GatewayAction.SendAttempt s = send(arrive(ANY, ANY));
            handle(new GatewayEvent.ResponseProgress(s.attempt(), true));
            all.add(s);
        }
        evacuate("z1");
        // The group of g1 and g2 responds on g1 only, the other one on h1.
        for (int i = 0; i < 3; i++) {
            nowMs += 250;
            all.stream()
                    .filter(s -> Set.of("g1", "h1").contains(s.upstream().id()))
                    .forEach(s -> handle(new GatewayEvent.ResponseProgress(s.attempt(), true)));
        }
        Set<String> chosen = new TreeSet<>();
        for (int i = 0; i < 8; i++) {
            chosen.add(send(arrive(ANY, ANY)).upstream().id());
        }
        assertTrue(chosen.contains("g2"), "sent to " + chosen);
        assertTrue(!chosen.contains("g1"), "sent to " + chosen);
    }

    // Guards against requests that are refused because another group, in an evacuated zone, seems to take them.
    @Test
    void aRequestWaitsForItsGroupIfTheOtherGroupIsEvacuated() {
        handle(new GatewayEvent.UpstreamsUpdated(
                List.of(upstream("g1", "z1"), upstream("g2", "z1"), upstream("h1", "z3"), upstream("h2", "z3"))));
        handle(new GatewayEvent.GroupsUpdated(Map.of("g1", "g", "g2", "g", "h1", "h", "h2", "h")));
        nowMs += 500;
        evacuate("z3");
        GatewayAction.SendAttempt sent = send(arrive(ANY, ANY));
        assertEquals(
                List.of(new GatewayAction.ReportGroupState("s", true, 0)),
                end(sent, GROUP_BROKEN),
                "the request waits for its group");
        assertEquals(1, dispatcher.openRequests());
    }

    private Set<String> zonesOf(int requests, Set<String> routeRegions, Set<String> teamRegions) {
        Set<String> zones = new TreeSet<>();
        List<GatewayAction.SendAttempt> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.add(send(arrive(routeRegions, teamRegions)));
            zones.add(sent.getLast().upstream().zone());
        }
        sent.forEach(s -> end(s, new AttemptOutcome.Completed(200)));
        return zones;
    }

    private List<GatewayAction> evacuate(String... zones) {
        return handle(new GatewayEvent.EvacuatedZonesUpdated(Set.of(zones)));
    }

    private List<GatewayAction> arrive(Set<String> routeRegions, Set<String> teamRegions) {
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("s", 1)),
                Route.RetrySafety.RESUMABLE,
                true,
                Duration.ofSeconds(4),
                Duration.ofMillis(300),
                Duration.ofMillis(120),
                2,
                0,
                false,
                routeRegions);
        return handle(new GatewayEvent.RequestArrived(new GatewayRequest(
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
                (nowMs + 4000) * MS,
                teamRegions)));
    }

    private List<GatewayAction> end(GatewayAction.SendAttempt s, AttemptOutcome outcome) {
        return handle(new GatewayEvent.AttemptEnded(s.attempt(), outcome));
    }

    private List<GatewayAction> handle(GatewayEvent e) {
        return dispatcher.handle(e, nowMs * MS);
    }

    private static void assertRefused(List<GatewayAction> out) {
        GatewayAction.RefuseRequest refusal = assertInstanceOf(GatewayAction.RefuseRequest.class, only(out));
        Verdict.NotRun verdict = assertInstanceOf(Verdict.NotRun.class, refusal.verdict());
        assertEquals(Reason.NO_UPSTREAM, verdict.reason());
    }

    private static GatewayAction.SendAttempt send(List<GatewayAction> out) {
        return assertInstanceOf(GatewayAction.SendAttempt.class, only(out));
    }

    private static GatewayAction only(List<GatewayAction> out) {
        assertEquals(1, out.size(), () -> out.toString());
        return out.getFirst();
    }

    private static ListedUpstream upstream(String id, String zone) {
        return new ListedUpstream(id, "s", "10.0.0.1", 80, zone, 4, false, 0);
    }
}
