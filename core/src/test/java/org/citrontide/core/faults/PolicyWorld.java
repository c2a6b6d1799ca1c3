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
 * Two entries and four upstreams under load, with the real state machines and virtual time. Callers that were refused
 * ask again when they were told to. The plain baseline runs the same machines with one class and one team for all.
 */
final class PolicyWorld {
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
    private static final long NET = EventLoop.MILLI;
    private static final int MAX_ASKS = 4;

    /** One stream of requests. */
    record Source(String team, Urgency urgency, double perSecond, int cost, long targetMillis) {}

    /** What became of one source. */
    static final class Outcome {
        int asked;
        int inTarget;
        long costServed;
        final List<Long> latencies = new ArrayList<>();

        double goodput() {
            return (double) inTarget / Math.max(1, asked);
        }

        long p99() {
            latencies.sort(null);
            return latencies.isEmpty() ? 0 : latencies.get(Math.min(latencies.size() - 1, latencies.size() * 99 / 100));
        }
    }

    private record Ask(Source source, long firstAskedNanos, int asks) {}

    final Map<Source, Outcome> outcomes = new HashMap<>();
    private final EventLoop loop;
    private final boolean plain;
    private final long warmUpNanos;
    private final Map<Long, Ask> asks = new HashMap<>();
    private final List<Dispatcher> entries = new ArrayList<>();
    private final List<SidecarGate> gates = new ArrayList<>();
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, GateRequest> atGate = new HashMap<>();
    private final Map<Long, Long> attemptOf = new HashMap<>();
    private final Map<Long, Integer> entryOf = new HashMap<>();
    private long nextId = 1;
    private long nextNumber = 1;

    PolicyWorld(long seed, boolean plain, long warmUpNanos) {
        loop = new EventLoop(seed);
        this.plain = plain;
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

    void run(List<Source> sources, int seconds) {
        sources.forEach(s -> {
            outcomes.put(s, new Outcome());
            arrive(s, seconds * EventLoop.SECOND);
        });
        for (long t = 0; t < (seconds + 60) * EventLoop.SECOND; t += 100 * EventLoop.MILLI) {
            loop.after(t, this::tick);
        }
        loop.runUntil((seconds + 60) * EventLoop.SECOND);
    }

    private void arrive(Source s, long end) {
        long gap = (long) (-Math.log(1 - loop.random.nextDouble()) / s.perSecond() * EventLoop.SECOND);
        loop.after(gap, () -> {
            if (loop.now() < end) {
                if (loop.now() >= warmUpNanos) {
                    outcomes.get(s).asked++;
                }
                ask(new Ask(s, loop.now(), 1));
                arrive(s, end);
            }
        });
    }

    private void ask(Ask a) {
        long id = nextId++;
        asks.put(id, a);
        int e = loop.random.nextInt(entries.size());
        Source s = a.source();
        int cost = Math.max(1, (int) (s.cost() * (0.5 + loop.random.nextDouble())));
        entry(
                e,
                new DispatchEvent.RequestArrived(new DispatchRequest(
                        id,
                        "roster",
                        plain ? "all" : s.team(),
                        plain ? Urgency.LIVE : s.urgency(),
                        cost,
                        true,
                        Optional.empty(),
                        loop.now() + 60 * EventLoop.SECOND)));
    }

    private void tick() {
        for (int i = 0; i < gates.size(); i++) {
            gate(i, new GateEvent.Tick());
            if (loop.now() % EventLoop.SECOND != 0) {
                continue;
            }
            for (int e = 0; e < entries.size(); e++) {
                entry(e, new DispatchEvent.ReportReceived(id(i), gates.get(i).report()));
            }
        }
    }

    private void entry(int e, DispatchEvent event) {
        for (DispatchAction a : entries.get(e).handle(event, loop.now())) {
            switch (a) {
                case DispatchAction.SendAttempt s -> loop.after(NET, () -> arriveAtGate(e, s));
                case DispatchAction.SendAnswer x -> completed(x.request());
                case DispatchAction.RefuseRequest r -> refused(r.request(), r.verdict());
                default -> {
                    // No streams here.
                }
            }
        }
    }

    private void arriveAtGate(int e, DispatchAction.SendAttempt s) {
        Ask a = asks.get(s.request());
        long number = nextNumber++;
        attemptOf.put(number, s.attempt());
        entryOf.put(number, e);
        Source src = a.source();
        QueuedRequest w = new QueuedRequest(
                number,
                plain ? Urgency.LIVE : src.urgency(),
                plain ? "all" : src.team(),
                src.cost(),
                loop.now() + s.remaining().toNanos());
        GateRequest r = new GateRequest(w, true, Optional.empty(), Long.MAX_VALUE / 2);
        atGate.put(number, r);
        numbers.put(e + "-" + s.attempt(), s.request());
        gate(s.upstream().port(), new GateEvent.AttemptArrived(r));
    }

    private void gate(int i, GateEvent event) {
        for (GateAction a : gates.get(i).handle(event, loop.now(), loop.epochMillis())) {
            switch (a) {
                case GateAction.StartCall s -> {
                    int cost = atGate.get(s.id()).waiting().cost();
                    long nanos = (long) (cost * (0.5 + loop.random.nextDouble()) * EventLoop.MILLI);
                    loop.after(
                            nanos,
                            () -> gate(
                                    i,
                                    new GateEvent.CallEnded(
                                            s.id(), new CallOutcome.Answered(200, 0, Optional.empty()))));
                }
                case GateAction.EndAttempt end -> {
                    long attempt = attemptOf.remove(end.id());
                    int e = entryOf.remove(end.id());
                    GateRequest r = atGate.remove(end.id());
                    SidecarReport load = gates.get(i).report();
                    if (end.verdict() instanceof Verdict.Completed) {
                        served(e, attempt, r);
                    }
                    loop.after(NET, () -> {
                        entry(e, new DispatchEvent.AnswerHead(attempt, 200, ""));
                        entry(e, new DispatchEvent.AttemptEnded(attempt, end.verdict(), 0));
                        entry(e, new DispatchEvent.ReportReceived(id(i), load));
                    });
                }
                default -> {
                    // No claims here.
                }
            }
        }
    }

    private void served(int e, long attempt, GateRequest r) {
        Ask a = asks.get(numbers.remove(e + "-" + attempt));
        if (loop.now() >= warmUpNanos) {
            outcomes.get(a.source()).costServed += r.waiting().cost();
        }
    }

    private void completed(long request) {
        Ask a = asks.remove(request);
        if (a.firstAskedNanos() < warmUpNanos) {
            return;
        }
        long millis = (loop.now() - a.firstAskedNanos()) / EventLoop.MILLI;
        Outcome o = outcomes.get(a.source());
        o.latencies.add(millis);
        o.inTarget += millis <= a.source().targetMillis() ? 1 : 0;
    }

    private void refused(long request, Verdict verdict) {
        Ask a = asks.remove(request);
        if (a.asks() < MAX_ASKS && verdict instanceof Verdict.NotRun n) {
            long wait = Math.max(EventLoop.SECOND, n.retryAfter().toNanos());
            loop.after(wait, () -> ask(new Ask(a.source(), a.firstAskedNanos(), a.asks() + 1)));
        }
    }

    private static UpstreamId id(int i) {
        return new UpstreamId("10.0.0." + i, i);
    }
}
