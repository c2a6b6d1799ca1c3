package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs a dispatcher against random outcomes, upstream lists and disconnects, and checks its invariants for every
 * request.
 */
final class GatewayDispatcherFaultTest {
    private static final long MS = 1_000_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final int TIMEOUT_MS = 4000;

    @Test
    void everyRequestEndsOnceWithACorrectVerdict() {
        int refused = 0;
        int retried = 0;
        int groupStateChanges = 0;
        int quarantined = 0;
        for (long seed = 1; seed <= 200; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.simulate(20_000);
            assertEquals(0, simulation.dispatcher.openRequests(), "seed " + seed);
            refused += simulation.refused;
            retried += simulation.retried;
            groupStateChanges += simulation.groupStateChanges;
            quarantined += simulation.quarantined;
        }
        assertTrue(groupStateChanges > 1000, groupStateChanges + " group state changes");
        assertTrue(refused > 1000 && retried > 1000, refused + " refused, " + retried + " retried");
        assertTrue(quarantined > 100, quarantined + " refused for a part of their prompts");
    }

    /** The expected state of a request. */
    private static final class TrackedRequest {
        private final Route.RetrySafety retrySafety;
        private final long deadlineMs;
        private final Set<String> reached = new HashSet<>();
        private boolean mayHaveRun;
        private int inFlight;
        private boolean ended;

        private TrackedRequest(Route.RetrySafety retrySafety, long deadlineMs) {
            this.retrySafety = retrySafety;
            this.deadlineMs = deadlineMs;
        }
    }

    /** An attempt in flight. */
    private record SentAttempt(long attempt, long request, String upstream) {}

    /** A simulation of callers and upstreams in virtual time. */
    private static final class Simulation {
        private final SplittableRandom random;
        private final GatewayDispatcher dispatcher;
        private final Map<Long, TrackedRequest> requests = new HashMap<>();
        private final Map<Long, SentAttempt> attempts = new HashMap<>();
        private Set<String> usable = new HashSet<>();
        private long nowMs;
        private long lastId;
        private int refused;
        private int retried;
        private int groupStateChanges;
        private int quarantined;
        private final List<ListedUpstream> pendingChecks = new ArrayList<>();
        private final List<CrashEvidence> evidence = new ArrayList<>();

        private Simulation(long seed) {
            random = new SplittableRandom(seed);
            dispatcher = new GatewayDispatcher("z1", () -> RetryBudgets.createInService(0.2, 12 * 20), random.split());
        }

        private void simulate(long untilMs) {
            updateUpstreams();
            while (nowMs < untilMs + TIMEOUT_MS + 100) {
                nowMs += 10;
                if (nowMs < untilMs) {
                    simulateRandomEvent();
                }
                if (nowMs % 50 == 0) {
                    handle(new GatewayEvent.Tick());
                    requests.values()
                            .forEach(tracked ->
                                    assertTrue(tracked.ended || tracked.deadlineMs > nowMs, "open past its deadline"));
                }
            }
        }

        private void simulateRandomEvent() {
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> arrive();
                case 3 -> disconnect();
                case 4 -> {
                    if (random.nextInt(20) == 0) {
                        updateUpstreams();
                    }
                }
                case 5 -> {
                    if (!pendingChecks.isEmpty()) {
                        handle(new GatewayEvent.UpstreamChecked(pendingChecks.removeFirst(), random.nextBoolean()));
                    }
                }
                default -> progressOrEnd();
            }
        }

        private void arrive() {
            Route.RetrySafety retrySafety = Route.RetrySafety.values()[random.nextInt(3)];
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    List.of(new Route.Split("s", 1)),
                    retrySafety,
                    retrySafety == Route.RetrySafety.RESUMABLE,
                    Duration.ofMillis(TIMEOUT_MS),
                    Duration.ofMillis(300),
                    retrySafety == Route.RetrySafety.RESUMABLE ? Duration.ofMillis(20) : Duration.ZERO,
                    MAX_ATTEMPTS,
                    0,
                    false);
            long id = ++lastId;
            long deadline = nowMs + 200 + random.nextInt(TIMEOUT_MS - 200);
            requests.put(id, new TrackedRequest(retrySafety, deadline));
            handle(new GatewayEvent.RequestArrived(new GatewayRequest(
                    id, route, "s", "t", 0, 0, 0, parts(id), Duration.ZERO, nowMs * MS, deadline * MS)));
        }

        private List<String> parts(long id) {
            return random.nextInt(2) == 0 ? List.of("p" + id / 100, "q" + random.nextInt(5)) : List.of();
        }

        private void disconnect() {
            if (lastId == 0) {
                return;
            }
            long id = 1 + random.nextLong(lastId);
            if (!requests.get(id).ended) {
                requests.get(id).ended = true;
                handle(new GatewayEvent.CallerDisconnected(id));
                assertEquals(0, requests.get(id).inFlight, "attempt in flight after its caller disconnected");
            }
        }

        private void updateUpstreams() {
            List<ListedUpstream> list = new ArrayList<>();
            usable = new HashSet<>();
            for (int i = 0; i < 4; i++) {
                boolean draining = random.nextInt(5) == 0;
                if (random.nextInt(5) > 0) {
                    list.add(new ListedUpstream("u" + i, "s", "10.0.0.1", 80, "z1", 4, draining, 0));
                    if (!draining) {
                        usable.add("u" + i);
                    }
                }
            }
            handle(new GatewayEvent.UpstreamsUpdated(list));
        }

        private void progressOrEnd() {
            if (attempts.isEmpty()) {
                return;
            }
            List<Long> numbers = new ArrayList<>(attempts.keySet());
            SentAttempt s = attempts.get(numbers.get(random.nextInt(numbers.size())));
            if (random.nextInt(3) == 0) {
                handle(new GatewayEvent.ResponseProgress(s.attempt(), random.nextBoolean()));
                return;
            }
            attempts.remove(s.attempt());
            TrackedRequest tracked = requests.get(s.request());
            tracked.inFlight--;
            AttemptOutcome outcome = outcome();
            if (outcome instanceof AttemptOutcome.Broken || outcome instanceof AttemptOutcome.Failed) {
                tracked.mayHaveRun = true;
            }
            if (outcome instanceof AttemptOutcome.Unreached) {
                tracked.reached.remove(s.upstream());
            }
            handle(new GatewayEvent.AttemptEnded(s.attempt(), outcome));
        }

        private void reportSpeed(String upstream) {
            handle(new GatewayEvent.ReportReceived(upstream, random.nextInt(3) == 0 ? 4 : 1, true));
        }

        private AttemptOutcome outcome() {
            return switch (random.nextInt(8)) {
                case 0 -> new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
                case 1 -> new AttemptOutcome.Failed(500);
                case 2 -> new AttemptOutcome.Unreached();
                case 3 -> new AttemptOutcome.Rejected(AttemptOutcome.Rejected.Cause.values()[random.nextInt(4)]);
                default -> new AttemptOutcome.Completed(200);
            };
        }

        private void handle(GatewayEvent event) {
            for (GatewayAction action : dispatcher.handle(event, nowMs * MS)) {
                switch (action) {
                    case GatewayAction.SendAttempt s -> checkSent(s);
                    case GatewayAction.CancelAttempt c -> recordCancel(c.attempt());
                    case GatewayAction.WithdrawAttempt w -> throw new AssertionError("no zone is evacuated");
                    case GatewayAction.DeliverResponse d -> checkEnd(d.request());
                    case GatewayAction.AbortResponse b -> checkEnd(b.request());
                    case GatewayAction.RefuseRequest r -> checkRefusal(r);
                    case GatewayAction.QuerySpeeds a -> a.upstreams().forEach(u -> reportSpeed(u.id()));
                    case GatewayAction.ReportGroupAvailability a -> {
                        // Not checked here.
                    }
                    case GatewayAction.ReportGroupState n -> groupStateChanges++;
                    case GatewayAction.ReportPlacement p -> throw new AssertionError("requests are counted");
                    case GatewayAction.ReportRateLimit l -> throw new AssertionError("no upstream has named a limit");
                    case GatewayAction.CheckUpstream c -> pendingChecks.add(c.upstream());
                    case GatewayAction.PublishEvidence p -> {
                        evidence.add(p.evidence());
                        handle(new GatewayEvent.CrashEvidenceUpdated(evidence));
                    }
                    case GatewayAction.ReportRetryDenied d -> {
                        // Affects only the log.
                    }
                    case GatewayAction.ReportQuarantine q -> {
                        // Affects only the log.
                    }
                    case GatewayAction.ReportBackoff b -> throw new AssertionError("no upstream asks to be left alone");
                    case GatewayAction.ReportCold c -> throw new AssertionError("no service has a rule");
                    case GatewayAction.ReportHeldBack h -> throw new AssertionError("no service has a rule");
                }
            }
        }

        private void checkSent(GatewayAction.SendAttempt s) {
            TrackedRequest tracked = requests.get(s.request().id());
            assertFalse(tracked.ended, "sent after its final outcome");
            assertEquals(0, tracked.inFlight, "two attempts in flight");
            assertTrue(usable.contains(s.upstream().id()), "sent to an upstream that accepts no requests");
            assertFalse(
                    tracked.retrySafety == Route.RetrySafety.AT_MOST_ONCE && tracked.mayHaveRun,
                    "retried an at-most-once request that may have run");
            retried += tracked.reached.isEmpty() ? 0 : 1;
            tracked.reached.add(s.upstream().id());
            assertTrue(tracked.reached.size() <= MAX_ATTEMPTS, "reached " + tracked.reached);
            tracked.inFlight++;
            attempts.put(
                    s.attempt(),
                    new SentAttempt(s.attempt(), s.request().id(), s.upstream().id()));
        }

        private void recordCancel(long attempt) {
            SentAttempt s = attempts.remove(attempt);
            requests.get(s.request()).inFlight--;
            requests.get(s.request()).mayHaveRun = true;
        }

        private void checkRefusal(GatewayAction.RefuseRequest r) {
            TrackedRequest tracked = requests.get(r.request());
            if (r.verdict() instanceof Verdict.NotRun n) {
                assertFalse(tracked.mayHaveRun, "NotRun verdict for a request that may have run");
                boolean isQuarantined = n.reason() == Reason.PROMPT_QUARANTINED;
                quarantined += isQuarantined ? 1 : 0;
                assertTrue(
                        isQuarantined || n.retryAfter().toMillis() <= Math.max(0, tracked.deadlineMs - nowMs) / 2,
                        "" + n.retryAfter());
            }
            refused++;
            checkEnd(r.request());
        }

        private void checkEnd(long id) {
            TrackedRequest tracked = requests.get(id);
            assertFalse(tracked.ended, "second final outcome");
            assertEquals(0, tracked.inFlight, "ended with an attempt in flight");
            tracked.ended = true;
        }
    }
}
