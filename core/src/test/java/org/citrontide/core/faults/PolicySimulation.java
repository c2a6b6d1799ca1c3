package org.citrontide.core.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.dispatch.DispatchAction;
import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.dispatch.DispatchRequest;
import org.citrontide.core.dispatch.Dispatcher;
import org.citrontide.core.gate.CallOutcome;
import org.citrontide.core.gate.GateAction;
import org.citrontide.core.gate.GateEvent;
import org.citrontide.core.gate.GateRequest;
import org.citrontide.core.gate.SidecarGate;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.queue.QueuedRequest;
import org.citrontide.core.verdict.Verdict;

/**
 * Simulates two entries and four upstreams under load, with the real state machines and virtual time. Callers retry
 * refused requests after the indicated delay. The baseline runs the same state machines with a single class and team.
 */
final class PolicySimulation {
    static final int UPSTREAMS = 4;
    static final int SLOTS = 8;

    private static final String FILE = """
            kind = "model"
            service = "roster"
            [[calls]]
            path = "/"
            [classes.daily]
            guaranteed_percent = 15
            [classes.overnight]
            guaranteed_percent = 5
            [limits]
            timeout_ms = 60000
            slots = 8
            queue_length = 64
            """;
    private static final long NETWORK_DELAY = EventLoop.MILLI;
    private static final int MAX_SUBMISSIONS = 4;

    /** A source of requests with random, exponentially distributed intervals. */
    record TrafficSource(String team, Urgency urgency, double perSecond, int cost, long targetMillis) {}

    /** Statistics of the requests of one source. */
    static final class Outcome {
        int requestCount;
        int withinTarget;
        long costServed;
        final List<Long> latencies = new ArrayList<>();

        double goodput() {
            return (double) withinTarget / Math.max(1, requestCount);
        }

        long p99() {
            latencies.sort(null);
            return latencies.isEmpty() ? 0 : latencies.get(Math.min(latencies.size() - 1, latencies.size() * 99 / 100));
        }
    }

    private record CallerRequest(TrafficSource source, long firstSubmittedNanos, int submissions) {}

    final Map<TrafficSource, Outcome> outcomes = new HashMap<>();
    private final EventLoop loop;
    private final boolean baseline;
    private final long warmUpNanos;
    private final Map<Long, CallerRequest> openRequests = new HashMap<>();
    private final List<Dispatcher> entries = new ArrayList<>();
    private final List<SidecarGate> gates = new ArrayList<>();
    private final Map<String, Long> requestByAttempt = new HashMap<>();
    private final Map<Long, GateRequest> gateRequests = new HashMap<>();
    private final Map<Long, Long> attemptByNumber = new HashMap<>();
    private final Map<Long, Integer> entryByNumber = new HashMap<>();
    private long nextId = 1;
    private long nextNumber = 1;

    PolicySimulation(long seed, boolean baseline, long warmUpNanos) {
        loop = new EventLoop(seed);
        this.baseline = baseline;
        this.warmUpNanos = warmUpNanos;
        Configuration c = Configuration.check(1, Map.of("r.toml", new Configuration.FileText(1, FILE)))
                .value()
                .orElseThrow();
        List<ListedVm> list = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            list.add(new ListedVm("vm" + i, "z", "roster", id(i), false));
            gates.add(new SidecarGate(i));
            gates.get(i).handle(new GateEvent.ConfigurationChanged(c.services().get("roster")), 0, 0);
        }
        for (int e = 0; e < 2; e++) {
            Dispatcher d =
                    new Dispatcher("z", new UpstreamSubset("entry", "z", 100_000), new SplittableRandom(seed + e));
            entries.add(d);
            d.handle(new DispatchEvent.ConfigurationChanged(c), 0);
            d.handle(new DispatchEvent.VmListChanged(list), 0);
            for (int i = 0; i < UPSTREAMS; i++) {
                d.handle(new DispatchEvent.LinkUp(id(i)), 0);
                d.handle(new DispatchEvent.ReportReceived(id(i), gates.get(i).report()), 0);
            }
        }
    }

    void run(List<TrafficSource> sources, int seconds) {
        sources.forEach(s -> {
            outcomes.put(s, new Outcome());
            scheduleNextRequest(s, seconds * EventLoop.SECOND);
        });
        for (long t = 0; t < (seconds + 60) * EventLoop.SECOND; t += 100 * EventLoop.MILLI) {
            loop.schedule(t, this::tick);
        }
        loop.runUntil((seconds + 60) * EventLoop.SECOND);
    }

    private void scheduleNextRequest(TrafficSource s, long end) {
        long gap = (long) (-Math.log(1 - loop.random.nextDouble()) / s.perSecond() * EventLoop.SECOND);
        loop.schedule(gap, () -> {
            if (loop.now() < end) {
                if (loop.now() >= warmUpNanos) {
                    outcomes.get(s).requestCount++;
                }
                submit(new CallerRequest(s, loop.now(), 1));
                scheduleNextRequest(s, end);
            }
        });
    }

    private void submit(CallerRequest callerRequest) {
        long id = nextId++;
        openRequests.put(id, callerRequest);
        int e = loop.random.nextInt(entries.size());
        TrafficSource s = callerRequest.source();
        int cost = Math.max(1, (int) (s.cost() * (0.5 + loop.random.nextDouble())));
        handleAtEntry(
                e,
                new DispatchEvent.RequestArrived(new DispatchRequest(
                        id,
                        "roster",
                        baseline ? "all" : s.team(),
                        baseline ? Urgency.LIVE : s.urgency(),
                        cost,
                        true,
                        Optional.empty(),
                        loop.now() + 60 * EventLoop.SECOND)));
    }

    private void tick() {
        for (int i = 0; i < gates.size(); i++) {
            handleAtGate(i, new GateEvent.Tick());
            if (loop.now() % EventLoop.SECOND != 0) {
                continue;
            }
            for (int e = 0; e < entries.size(); e++) {
                handleAtEntry(
                        e, new DispatchEvent.ReportReceived(id(i), gates.get(i).report()));
            }
        }
    }

    private void handleAtEntry(int e, DispatchEvent event) {
        for (DispatchAction a : entries.get(e).handle(event, loop.now())) {
            switch (a) {
                case DispatchAction.SendAttempt s -> loop.schedule(NETWORK_DELAY, () -> deliverToGate(e, s));
                case DispatchAction.SendAnswer x -> recordCompletion(x.request());
                case DispatchAction.RefuseRequest r -> handleRefusal(r.request(), r.verdict());
                default -> {
                    // The simulation has no streamed answers and no links.
                }
            }
        }
    }

    private void deliverToGate(int e, DispatchAction.SendAttempt s) {
        CallerRequest callerRequest = openRequests.get(s.request());
        long number = nextNumber++;
        attemptByNumber.put(number, s.attempt());
        entryByNumber.put(number, e);
        TrafficSource source = callerRequest.source();
        QueuedRequest queued = new QueuedRequest(
                number,
                baseline ? Urgency.LIVE : source.urgency(),
                baseline ? "all" : source.team(),
                source.cost(),
                loop.now() + s.remaining().toNanos());
        GateRequest gateRequest = new GateRequest(queued, true, Optional.empty(), Long.MAX_VALUE / 2);
        gateRequests.put(number, gateRequest);
        requestByAttempt.put(e + "-" + s.attempt(), s.request());
        handleAtGate(s.upstream().port(), new GateEvent.AttemptArrived(gateRequest));
    }

    private void handleAtGate(int i, GateEvent event) {
        for (GateAction a : gates.get(i).handle(event, loop.now(), loop.epochMillis())) {
            switch (a) {
                case GateAction.StartCall s -> {
                    int cost = gateRequests.get(s.id()).queued().cost();
                    long nanos = (long) (cost * (0.5 + loop.random.nextDouble()) * EventLoop.MILLI);
                    loop.schedule(
                            nanos,
                            () -> handleAtGate(
                                    i,
                                    new GateEvent.CallEnded(
                                            s.id(), new CallOutcome.Answered(200, 0, Optional.empty()))));
                }
                case GateAction.EndAttempt end -> {
                    long attempt = attemptByNumber.remove(end.id());
                    int e = entryByNumber.remove(end.id());
                    GateRequest gateRequest = gateRequests.remove(end.id());
                    SidecarReport load = gates.get(i).report();
                    if (end.verdict() instanceof Verdict.Completed) {
                        recordCostServed(e, attempt, gateRequest);
                    }
                    loop.schedule(NETWORK_DELAY, () -> {
                        handleAtEntry(e, new DispatchEvent.AnswerHead(attempt, 200, ""));
                        handleAtEntry(e, new DispatchEvent.AttemptEnded(attempt, end.verdict(), 0));
                        handleAtEntry(e, new DispatchEvent.ReportReceived(id(i), load));
                    });
                }
                default -> {
                    // The simulation has no claims.
                }
            }
        }
    }

    private void recordCostServed(int e, long attempt, GateRequest gateRequest) {
        CallerRequest callerRequest = openRequests.get(requestByAttempt.remove(e + "-" + attempt));
        if (loop.now() >= warmUpNanos) {
            outcomes.get(callerRequest.source()).costServed +=
                    gateRequest.queued().cost();
        }
    }

    private void recordCompletion(long request) {
        CallerRequest callerRequest = openRequests.remove(request);
        if (callerRequest.firstSubmittedNanos() < warmUpNanos) {
            return;
        }
        long millis = (loop.now() - callerRequest.firstSubmittedNanos()) / EventLoop.MILLI;
        Outcome o = outcomes.get(callerRequest.source());
        o.latencies.add(millis);
        o.withinTarget += millis <= callerRequest.source().targetMillis() ? 1 : 0;
    }

    private void handleRefusal(long request, Verdict verdict) {
        CallerRequest callerRequest = openRequests.remove(request);
        if (callerRequest.submissions() < MAX_SUBMISSIONS && verdict instanceof Verdict.NotRun n) {
            long wait = Math.max(EventLoop.SECOND, n.retryAfter().toNanos());
            loop.schedule(
                    wait,
                    () -> submit(new CallerRequest(
                            callerRequest.source(),
                            callerRequest.firstSubmittedNanos(),
                            callerRequest.submissions() + 1)));
        }
    }

    private static UpstreamId id(int i) {
        return new UpstreamId("10.0.0." + i, i);
    }
}
