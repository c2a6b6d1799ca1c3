package org.citrontide.core.faults;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Simulates two entries and two sidecars, which run the real state machines, a claim store, and callers that retry
 * their requests. In half of the seeds each entry is linked to only one sidecar. Faults are injected one after the
 * other at a given injection point. The simulation is a deterministic function of the seed.
 */
final class FaultSimulation {
    private static final String FILE = """
            kind = "plain"
            service = "booking"
            [[calls]]
            path = "/"
            [limits]
            timeout_ms = 10000
            slots = 2
            queue_length = 4
            claim_window_s = 120
            retry_percent = 100
            """;
    private static final long MAX_DETECTION_DELAY = 4 * EventLoop.SECOND;
    private static final long FINE_TICKS_UNTIL = 15 * EventLoop.SECOND;
    private static final long END = 400 * EventLoop.SECOND;

    final EventLoop loop;
    final Configuration configuration = Configuration.check(1, Map.of("b.toml", new Configuration.FileText(1, FILE)))
            .value()
            .orElseThrow();
    final ServiceFile service = configuration.services().get("booking");
    final FakeClaimStore store = new FakeClaimStore();
    final List<FakeSidecar> sidecars = new ArrayList<>();
    final List<FakeEntry> entries = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    int storeRepliesToDrop;
    int attemptCount;
    final Set<String> servedNames = new HashSet<>();
    int injectedCount;
    boolean allLinksUp;

    private final Map<Long, Integer> runsByRequest = new HashMap<>();
    private final Map<String, Integer> runsByName = new HashMap<>();
    private final Map<Long, Verdict> verdicts = new HashMap<>();
    private final Map<String, Integer> submissionsByName = new HashMap<>();
    private final Map<String, Integer> linkEpochs = new HashMap<>();
    private final List<FakeEntry.CallerRequest> submittedRequests = new ArrayList<>();
    private final Deque<Fault> pendingFaults;
    private final InjectionPoint injectionPoint;
    private final int passesToSkip;
    private int passCount;
    private long nextRequestId = 1;

    FaultSimulation(long seed, List<Fault> faults, InjectionPoint injectionPoint) {
        loop = new EventLoop(seed);
        pendingFaults = new ArrayDeque<>(faults);
        this.injectionPoint = injectionPoint;
        passesToSkip = loop.random.nextInt(3);
        for (int i = 1; i <= 2; i++) {
            sidecars.add(new FakeSidecar(new UpstreamId("10.0.0." + i, i), this));
        }
        for (int i = 0; i < 2; i++) {
            FakeEntry e = new FakeEntry(i, this);
            entries.add(e);
            e.start();
        }
    }

    void run() {
        allLinksUp = loop.random.nextBoolean();
        if (!allLinksUp) {
            cutLink(entries.get(0), sidecars.get(0), 0);
            cutLink(entries.get(1), sidecars.get(1), 0);
        }
        for (int i = 0; i < 8; i++) {
            String name = "k" + i;
            boolean repeatable = i % 2 == 1;
            boolean streamed = i % 4 == 3;
            Optional<String> key = i == 2 ? Optional.empty() : Optional.of(name);
            FakeEntry e = entries.get(i % 2);
            loop.schedule(
                    EventLoop.SECOND + loop.random.nextLong(50 * EventLoop.MILLI),
                    () -> submit(e, name, repeatable, streamed, key));
        }
        for (long t = 0; t < END; t += t < FINE_TICKS_UNTIL ? 100 * EventLoop.MILLI : 5 * EventLoop.SECOND) {
            loop.schedule(t, this::tick);
        }
        loop.runUntil(END);
        checkInvariants();
    }

    private void tick() {
        entries.forEach(FakeEntry::tick);
        sidecars.forEach(FakeSidecar::tick);
        sidecars.stream().filter(s -> loop.now() >= s.suspendedUntil).forEach(s -> entries.forEach(s::report));
    }

    private void submit(FakeEntry e, String name, boolean repeatable, boolean streamed, Optional<String> key) {
        FakeEntry.CallerRequest request = new FakeEntry.CallerRequest(nextRequestId++, name, repeatable, streamed, key);
        submittedRequests.add(request);
        submissionsByName.merge(name, 1, Integer::sum);
        e.submit(request);
    }

    /** Delivers the message of an injection point, or injects the next fault if this pass is selected for it. */
    void deliverOrInject(InjectionPoint point, FakeSidecar sidecar, FakeEntry entry, Runnable message) {
        if (pendingFaults.isEmpty() || point != injectionPoint || passCount++ < passesToSkip) {
            message.run();
            return;
        }
        injectedCount++;
        inject(pendingFaults.poll(), sidecar, entry, message);
    }

    private void inject(Fault f, FakeSidecar sidecar, FakeEntry entry, Runnable message) {
        switch (f) {
            case KILL_SIDECAR -> {
                message.run();
                entries.forEach(e -> cutLink(e, sidecar, 0));
                sidecar.start();
                entries.forEach(e -> loop.schedule(EventLoop.SECOND, () -> connect(e, sidecar)));
            }
            case KILL_ENTRY -> {
                message.run();
                sidecars.forEach(s -> cutLink(entry, s, 0));
                entry.killAndRestart();
            }
            case SUSPEND_SIDECAR_ONE_MINUTE -> suspend(sidecar, 60 * EventLoop.SECOND, message);
            case SUSPEND_SIDECAR_PAST_CLAIM_WINDOW -> suspend(sidecar, 200 * EventLoop.SECOND, message);
            case CUT_LINK -> {
                message.run();
                cutLink(entry, sidecar, loop.random.nextLong(MAX_DETECTION_DELAY));
                loop.schedule(10 * EventLoop.SECOND, () -> connect(entry, sidecar));
            }
            case DROP_MESSAGE -> {
                // The message is not delivered.
            }
            case DUPLICATE_MESSAGE -> {
                message.run();
                message.run();
            }
            case DELAY_MESSAGE -> loop.schedule(loop.random.nextLong(15 * EventLoop.SECOND), message);
            case STORE_OUTAGE -> {
                store.down = true;
                loop.schedule(3 * EventLoop.SECOND, () -> store.down = false);
                message.run();
            }
            case DROP_STORE_REPLIES -> {
                storeRepliesToDrop = 2;
                message.run();
            }
            case FAIL_UPSTREAM_CALL -> {
                sidecar.upstreamCallsToFail = 1;
                message.run();
            }
            case DRAIN_SIDECAR -> {
                sidecar.drain();
                message.run();
            }
            default -> {
                message.run();
                List.copyOf(submittedRequests)
                        .forEach(request -> request.key()
                                .ifPresent(k -> submit(
                                        entries.get((int) (request.id() % 2)),
                                        request.name(),
                                        request.repeatable(),
                                        request.streamed(),
                                        request.key())));
            }
        }
    }

    private void suspend(FakeSidecar s, long nanos, Runnable message) {
        s.suspendedUntil = loop.now() + nanos;
        entries.forEach(e -> cutLink(e, s, MAX_DETECTION_DELAY));
        entries.forEach(e -> loop.schedule(nanos + EventLoop.SECOND, () -> connect(e, s)));
        message.run();
    }

    /** Cuts a link at once. Both ends detect this after the given delay. */
    private void cutLink(FakeEntry e, FakeSidecar s, long detectionDelay) {
        linkEpochs.merge(channel(e, s), 1, Integer::sum);
        loop.schedule(detectionDelay, () -> {
            e.handle(new DispatchEvent.LinkDown(s.id));
            s.linkLost(e);
        });
    }

    void connect(FakeEntry e, FakeSidecar s) {
        linkEpochs.merge(channel(e, s), 1, Integer::sum);
        e.handle(new DispatchEvent.LinkUp(s.id));
        s.report(e);
    }

    void sendToSidecar(FakeEntry e, FakeSidecar s, Runnable message) {
        int epoch = linkEpochs.getOrDefault(channel(e, s), 0);
        loop.send("to" + channel(e, s), () -> {
            if (epoch == linkEpochs.getOrDefault(channel(e, s), 0)) {
                message.run();
            }
        });
    }

    void sendToEntry(FakeSidecar s, FakeEntry e, DispatchEvent event) {
        sendToEntry(s, e, e.incarnation, event);
    }

    void sendToEntry(FakeSidecar s, FakeEntry e, int entryIncarnation, DispatchEvent event) {
        int epoch = linkEpochs.getOrDefault(channel(e, s), 0);
        loop.send("from" + channel(e, s), () -> {
            if (entryIncarnation == e.incarnation && epoch == linkEpochs.getOrDefault(channel(e, s), 0)) {
                e.handle(event);
            }
        });
    }

    private static String channel(FakeEntry e, FakeSidecar s) {
        return e.number + "-" + s.id;
    }

    List<ListedVm> vmList() {
        return sidecars.stream()
                .map(s -> new ListedVm("vm" + s.id.port(), "mill-brook", "booking", s.id, false))
                .toList();
    }

    FakeSidecar sidecar(UpstreamId id) {
        return sidecars.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
    }

    void recordRun(FakeEntry.CallerRequest request) {
        runsByRequest.merge(request.id(), 1, Integer::sum);
        runsByName.merge(request.name(), 1, Integer::sum);
    }

    void callerConnectionLost(FakeEntry.CallerRequest request) {
        verdicts.put(request.id(), new Verdict.MayHaveRun(Reason.CONNECTION_LOST));
        resubmit(request);
    }

    void recordEnd(FakeEntry.CallerRequest request, Verdict verdict, String content) {
        if (request == null) {
            violations.add("an answer to a request that is already finished: " + verdict);
            return;
        }
        if (verdicts.put(request.id(), verdict) != null) {
            violations.add("a second answer to " + request);
        }
        switch (verdict) {
            case Verdict.Completed c -> {
                servedNames.add(request.name());
                if (!content.equals(request.content())) {
                    violations.add(request + " completed with wrong content " + content);
                }
            }
            default -> resubmit(request);
        }
    }

    private void resubmit(FakeEntry.CallerRequest request) {
        boolean mayResubmit = request.repeatable() || request.key().isPresent();
        if (mayResubmit && submissionsByName.get(request.name()) < 4) {
            FakeEntry other = entries.get((int) (request.id() % 2));
            loop.schedule(
                    EventLoop.SECOND,
                    () -> submit(other, request.name(), request.repeatable(), request.streamed(), request.key()));
        }
    }

    private void checkInvariants() {
        for (FakeEntry.CallerRequest request : submittedRequests) {
            Verdict verdict = verdicts.get(request.id());
            if (verdict == null) {
                violations.add("no answer to " + request);
                continue;
            }
            int runs = runsByRequest.getOrDefault(request.id(), 0);
            if (verdict instanceof Verdict.NotRun && runs > 0) {
                violations.add(request + " ran, but its verdict is " + verdict);
            }
            if (!request.repeatable() && runs > 1) {
                violations.add(request + " ran " + runs + " times");
            }
            if (!request.repeatable() && request.key().isPresent() && runsByName.getOrDefault(request.name(), 0) > 1) {
                violations.add("key " + request.name() + " ran " + runsByName.get(request.name()) + " times");
            }
        }
    }
}
