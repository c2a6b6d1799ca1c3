package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays random outcomes, lists and departures of callers against a dispatcher and checks the promises of every request.
 */
final class GatewayDispatcherFaultTest {
    private static final long MS = 1_000_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final int LIMIT_MS = 4000;

    @Test
    void everyRequestEndsOnceAndTruly() {
        int refused = 0;
        int repeated = 0;
        int groupNotes = 0;
        for (long seed = 1; seed <= 200; seed++) {
            World w = new World(seed);
            w.play(20_000);
            assertEquals(0, w.dispatcher.openRequests(), "seed " + seed);
            refused += w.refused;
            repeated += w.repeated;
            groupNotes += w.groupNotes;
        }
        assertTrue(groupNotes > 1000, groupNotes + " outages begun or ended");
        assertTrue(refused > 1000 && repeated > 1000, refused + " refused, " + repeated + " repeated");
    }

    /** A request as the world sees it. */
    private static final class Asked {
        private final Route.Repeat repeat;
        private final long endMs;
        private final Set<String> reached = new HashSet<>();
        private boolean mayHaveRun;
        private int underWay;
        private boolean ended;

        private Asked(Route.Repeat repeat, long endMs) {
            this.repeat = repeat;
            this.endMs = endMs;
        }
    }

    /** An attempt under way. */
    private record Sent(long attempt, long request, String upstream) {}

    /** Callers and upstreams. */
    private static final class World {
        private final SplittableRandom random;
        private final GatewayDispatcher dispatcher;
        private final Map<Long, Asked> asked = new HashMap<>();
        private final Map<Long, Sent> sent = new HashMap<>();
        private Set<String> usable = new HashSet<>();
        private long nowMs;
        private long lastId;
        private int refused;
        private int repeated;
        private int groupNotes;

        private World(long seed) {
            random = new SplittableRandom(seed);
            dispatcher = new GatewayDispatcher(
                    "z1",
                    () -> new RepeatAllowance(0.2, Duration.ofSeconds(10), new SlackShare(12 * 20)),
                    random.split());
        }

        private void play(long untilMs) {
            list();
            while (nowMs < untilMs + LIMIT_MS + 100) {
                nowMs += 10;
                if (nowMs < untilMs) {
                    happen();
                }
                if (nowMs % 50 == 0) {
                    on(new GatewayEvent.Tick());
                    asked.values().forEach(a -> assertTrue(a.ended || a.endMs > nowMs, "open past its time"));
                }
            }
        }

        private void happen() {
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> arrive();
                case 3 -> leave();
                case 4 -> {
                    if (random.nextInt(20) == 0) {
                        list();
                    }
                }
                default -> progress();
            }
        }

        private void arrive() {
            Route.Repeat repeat = Route.Repeat.values()[random.nextInt(3)];
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    List.of(new Route.Split("s", 1)),
                    repeat,
                    repeat == Route.Repeat.RESUMABLE,
                    Duration.ofMillis(LIMIT_MS),
                    Duration.ofMillis(300),
                    repeat == Route.Repeat.RESUMABLE ? Duration.ofMillis(20) : Duration.ZERO,
                    MAX_ATTEMPTS,
                    0,
                    false);
            long id = ++lastId;
            long end = nowMs + 200 + random.nextInt(LIMIT_MS - 200);
            asked.put(id, new Asked(repeat, end));
            on(new GatewayEvent.Arrived(
                    new GatewayRequest(id, route, "s", "t", 0, 0, 0, Duration.ZERO, nowMs * MS, end * MS)));
        }

        private void leave() {
            if (lastId == 0) {
                return;
            }
            long id = 1 + random.nextLong(lastId);
            if (!asked.get(id).ended) {
                asked.get(id).ended = true;
                on(new GatewayEvent.CallerGone(id));
                assertEquals(0, asked.get(id).underWay, "an attempt goes on for a caller that has left");
            }
        }

        private void list() {
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
            on(new GatewayEvent.Listed(list));
        }

        private void progress() {
            if (sent.isEmpty()) {
                return;
            }
            List<Long> numbers = new ArrayList<>(sent.keySet());
            Sent s = sent.get(numbers.get(random.nextInt(numbers.size())));
            if (random.nextInt(3) == 0) {
                on(new GatewayEvent.Progress(s.attempt(), random.nextBoolean()));
                return;
            }
            sent.remove(s.attempt());
            Asked a = asked.get(s.request());
            a.underWay--;
            AttemptOutcome outcome = outcome();
            if (outcome instanceof AttemptOutcome.Broken || outcome instanceof AttemptOutcome.Failed) {
                a.mayHaveRun = true;
            }
            if (outcome instanceof AttemptOutcome.Unreached) {
                a.reached.remove(s.upstream());
            }
            on(new GatewayEvent.Ended(s.attempt(), outcome));
        }

        private void tell(String upstream) {
            on(new GatewayEvent.SpeedTold(upstream, random.nextInt(3) == 0 ? 4 : 1));
        }

        private AttemptOutcome outcome() {
            return switch (random.nextInt(8)) {
                case 0 -> new AttemptOutcome.Broken(Reason.CONNECTION_LOST);
                case 1 -> new AttemptOutcome.Failed(500);
                case 2 -> new AttemptOutcome.Unreached();
                case 3 ->
                    new AttemptOutcome.Rejected(
                            AttemptOutcome.Rejected.Cause.values()[random.nextInt(4)], Optional.empty());
                default -> new AttemptOutcome.Whole(200);
            };
        }

        private void on(GatewayEvent event) {
            for (GatewayAction action : dispatcher.on(event, nowMs * MS)) {
                switch (action) {
                    case GatewayAction.Send s -> begun(s);
                    case GatewayAction.Cancel c -> cancelled(c.attempt());
                    case GatewayAction.Deliver d -> end(d.request());
                    case GatewayAction.BreakOff b -> end(b.request());
                    case GatewayAction.Refuse r -> refuse(r);
                    case GatewayAction.AskSpeeds a -> a.upstreams().forEach(u -> tell(u.id()));
                    case GatewayAction.GroupNoted n -> groupNotes++;
                }
            }
        }

        private void begun(GatewayAction.Send s) {
            Asked a = asked.get(s.request().id());
            assertFalse(a.ended, "sent after its end");
            assertEquals(0, a.underWay, "two attempts at once");
            assertTrue(usable.contains(s.upstream().id()), "sent to one that takes no work");
            assertFalse(a.repeat == Route.Repeat.ONCE && a.mayHaveRun, "repeated what must run once");
            repeated += a.reached.isEmpty() ? 0 : 1;
            a.reached.add(s.upstream().id());
            assertTrue(a.reached.size() <= MAX_ATTEMPTS, "reached " + a.reached);
            a.underWay++;
            sent.put(
                    s.attempt(),
                    new Sent(s.attempt(), s.request().id(), s.upstream().id()));
        }

        private void cancelled(long attempt) {
            Sent s = sent.remove(attempt);
            asked.get(s.request()).underWay--;
            asked.get(s.request()).mayHaveRun = true;
        }

        private void refuse(GatewayAction.Refuse r) {
            Asked a = asked.get(r.request());
            if (r.verdict() instanceof Verdict.NotRun n) {
                assertFalse(a.mayHaveRun, "refused as not run after it may have run");
                assertTrue(n.retryAfter().toMillis() <= Math.max(0, a.endMs - nowMs) / 2, "" + n.retryAfter());
            }
            refused++;
            end(r.request());
        }

        private void end(long id) {
            Asked a = asked.get(id);
            assertFalse(a.ended, "ended twice");
            assertEquals(0, a.underWay, "ended with an attempt under way");
            a.ended = true;
        }
    }
}
