package org.citrontide.core.faults;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.ClaimEvent;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.gate.AttemptSequence;
import org.citrontide.core.gate.CallOutcome;
import org.citrontide.core.gate.GateAction;
import org.citrontide.core.gate.GateEvent;
import org.citrontide.core.gate.GateRequest;
import org.citrontide.core.gate.SidecarGate;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.queue.QueuedRequest;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/** A simulated sidecar process around the real gate, with its upstream. */
final class FakeSidecar {
    private static final long CALL_DURATION_NANOS = 20 * EventLoop.MILLI;

    private record OpenAttempt(
            FakeEntry entry, int entryIncarnation, long attempt, FakeEntry.CallerRequest request, int eventsToSkip) {}

    final UpstreamId id;
    final FaultSimulation simulation;
    long suspendedUntil;
    int upstreamCallsToFail;
    private SidecarGate gate;
    private int incarnation;
    private long nextNumber = 1;
    private final Map<Long, OpenAttempt> openAttempts = new HashMap<>();
    private final Map<FakeEntry, AttemptSequence> sequences = new HashMap<>();
    private final Set<Long> abortedCalls = new HashSet<>();

    FakeSidecar(UpstreamId id, FaultSimulation simulation) {
        this.id = id;
        this.simulation = simulation;
        start();
    }

    void start() {
        incarnation++;
        openAttempts.clear();
        sequences.clear();
        gate = new SidecarGate(1000L * id.port() + incarnation);
        handle(new GateEvent.ConfigurationChanged(simulation.service));
    }

    /** Runs a task in this process once it is not suspended. Does nothing if the process was restarted meanwhile. */
    private void runInProcess(Runnable task) {
        int initialIncarnation = incarnation;
        whenResumed(() -> {
            if (initialIncarnation == incarnation) {
                task.run();
            }
        });
    }

    private void whenResumed(Runnable task) {
        if (simulation.loop.now() >= suspendedUntil) {
            task.run();
        } else {
            simulation.loop.schedule(suspendedUntil - simulation.loop.now(), () -> whenResumed(task));
        }
    }

    void receiveAttempt(
            FakeEntry entry,
            int entryIncarnation,
            long attempt,
            FakeEntry.CallerRequest request,
            long remainingNanos,
            int eventsToSkip) {
        long deadlineEpoch = simulation.loop.epochMillis() + remainingNanos / EventLoop.MILLI;
        runInProcess(() -> {
            if (!sequences.computeIfAbsent(entry, e -> new AttemptSequence()).accept(attempt)) {
                return;
            }
            long number = nextNumber++;
            openAttempts.put(number, new OpenAttempt(entry, entryIncarnation, attempt, request, eventsToSkip));
            QueuedRequest queued = new QueuedRequest(
                    number, request.urgency(), request.team(), 1, simulation.loop.now() + remainingNanos);
            Optional<KeyHash> key = request.key().map(k -> KeyHash.of("booking", request.team(), k));
            handle(new GateEvent.AttemptArrived(new GateRequest(queued, request.repeatable(), key, deadlineEpoch)));
        });
    }

    void cancel(FakeEntry entry, long attempt) {
        runInProcess(() -> List.copyOf(openAttempts.entrySet()).stream()
                .filter(e -> e.getValue().entry() == entry && e.getValue().attempt() == attempt)
                .forEach(e -> handle(new GateEvent.AttemptCancelled(e.getKey()))));
    }

    void linkLost(FakeEntry entry) {
        runInProcess(() -> sequences.remove(entry));
        runInProcess(() -> List.copyOf(openAttempts.entrySet()).stream()
                .filter(e -> e.getValue().entry() == entry)
                .forEach(e -> handle(new GateEvent.AttemptCancelled(e.getKey()))));
    }

    void tick() {
        runInProcess(() -> handle(new GateEvent.Tick()));
    }

    void drain() {
        runInProcess(() -> handle(new GateEvent.DrainRequested()));
    }

    void report(FakeEntry entry) {
        simulation.sendToEntry(this, entry, new DispatchEvent.ReportReceived(id, gate.report()));
    }

    private void handle(GateEvent event) {
        int initialIncarnation = incarnation;
        for (GateAction a : gate.handle(event, simulation.loop.now(), simulation.loop.epochMillis())) {
            if (initialIncarnation == incarnation) {
                perform(a);
            }
        }
    }

    private void perform(GateAction action) {
        int initialIncarnation = incarnation;
        switch (action) {
            case GateAction.StartCall s ->
                simulation.deliverOrInject(
                        InjectionPoint.CALL_START, this, entryOf(s.id()), () -> sendCall(s, initialIncarnation));
            case GateAction.AbortCall a -> abortedCalls.add(a.id());
            case GateAction.CallClaimStore c -> callStore(c.call());
            case GateAction.ReplayAnswer r -> replayAnswer(r);
            case GateAction.EndAttempt e -> {
                OpenAttempt open = openAttempts.remove(e.id());
                if (open != null) {
                    sendAnswerEvent(
                            InjectionPoint.ANSWER_END,
                            open,
                            new DispatchEvent.AttemptEnded(open.attempt(), e.verdict(), e.length()));
                }
            }
            case GateAction.ReportDrained d -> {
                // Only the real shell acts on this.
            }
        }
    }

    private FakeEntry entryOf(long number) {
        return openAttempts.containsKey(number) ? openAttempts.get(number).entry() : simulation.entries.getFirst();
    }

    /** Checks both time limits when the process actually runs, late if it was suspended, and sends the call. */
    private void sendCall(GateAction.StartCall s, int initialIncarnation) {
        runInProcess(() -> {
            if (initialIncarnation != incarnation) {
                return;
            }
            boolean inTime =
                    simulation.loop.now() < s.latestNanos() && simulation.loop.epochMillis() < s.latestEpochMillis();
            OpenAttempt open = openAttempts.get(s.id());
            if (!inTime) {
                handle(new GateEvent.CallEnded(s.id(), new CallOutcome.NeverSent(Reason.DEADLINE)));
                return;
            }
            simulation.recordRun(open.request());
            simulation.deliverOrInject(
                    InjectionPoint.CALL_RUNNING,
                    this,
                    open.entry(),
                    () -> simulation.loop.schedule(
                            CALL_DURATION_NANOS,
                            () -> runInProcess(() -> {
                                finishCall(s.id(), open);
                            })));
        });
    }

    private void finishCall(long number, OpenAttempt open) {
        if (abortedCalls.remove(number) || upstreamCallsToFail-- > 0) {
            handle(new GateEvent.CallEnded(number, new CallOutcome.AnswerLost(Reason.CONNECTION_LOST)));
            return;
        }
        String type = open.request().streamed() ? "text/event-stream" : "text/plain";
        List<String> chunks = open.request().chunks(open.eventsToSkip());
        sendAnswerEvent(InjectionPoint.ANSWER_HEAD, open, new DispatchEvent.AnswerHead(open.attempt(), 200, type));
        long offset = 0;
        StringBuilder whole = new StringBuilder();
        for (String c : chunks) {
            byte[] bytes = c.getBytes(StandardCharsets.UTF_8);
            sendAnswerEvent(
                    InjectionPoint.ANSWER_CHUNK, open, new DispatchEvent.AnswerChunk(open.attempt(), offset, bytes));
            offset += bytes.length;
            whole.append(c);
        }
        StoredResponse response = new StoredResponse(200, type, whole.toString().getBytes(StandardCharsets.UTF_8));
        handle(new GateEvent.CallEnded(number, new CallOutcome.Answered(200, offset, Optional.of(response))));
    }

    private void replayAnswer(GateAction.ReplayAnswer r) {
        OpenAttempt open = openAttempts.remove(r.id());
        StoredResponse response = r.answer();
        sendAnswerEvent(
                InjectionPoint.ANSWER_HEAD,
                open,
                new DispatchEvent.AnswerHead(open.attempt(), response.status(), response.contentType()));
        sendAnswerEvent(
                InjectionPoint.ANSWER_CHUNK, open, new DispatchEvent.AnswerChunk(open.attempt(), 0, response.body()));
        sendAnswerEvent(
                InjectionPoint.ANSWER_END,
                open,
                new DispatchEvent.AttemptEnded(open.attempt(), new Verdict.Completed(200), response.body().length));
    }

    private void sendAnswerEvent(InjectionPoint point, OpenAttempt open, DispatchEvent event) {
        simulation.deliverOrInject(
                point,
                this,
                open.entry(),
                () -> simulation.sendToEntry(this, open.entry(), open.entryIncarnation(), event));
    }

    private void callStore(ClaimAction call) {
        InjectionPoint point =
                call instanceof ClaimAction.ReadBucket ? InjectionPoint.CLAIM_READ : InjectionPoint.CLAIM_WRITE;
        int bucket = FakeClaimStore.bucket(call);
        int initialIncarnation = incarnation;
        boolean[] replied = new boolean[1];
        Runnable onTimeout = () -> deliverReply(
                initialIncarnation, replied, new ClaimEvent.BucketFailed(bucket, point == InjectionPoint.CLAIM_WRITE));
        simulation.loop.schedule(2 * EventLoop.SECOND, () -> runInProcess(onTimeout));
        simulation.deliverOrInject(
                point,
                this,
                simulation.entries.getFirst(),
                () -> simulation.loop.send("store" + id, () -> {
                    if (simulation.store.down) {
                        runInProcess(() ->
                                deliverReply(initialIncarnation, replied, new ClaimEvent.BucketFailed(bucket, false)));
                        return;
                    }
                    ClaimEvent reply = simulation.store.execute(call);
                    if (simulation.storeRepliesToDrop > 0) {
                        simulation.storeRepliesToDrop--;
                        return;
                    }
                    simulation.deliverOrInject(
                            InjectionPoint.CLAIM_REPLY,
                            this,
                            simulation.entries.getFirst(),
                            () -> simulation.loop.send(
                                    "fromstore" + id,
                                    () -> runInProcess(() -> deliverReply(initialIncarnation, replied, reply))));
                }));
    }

    private void deliverReply(int initialIncarnation, boolean[] replied, ClaimEvent event) {
        if (initialIncarnation == incarnation && !replied[0]) {
            replied[0] = true;
            handle(new GateEvent.ClaimReplyReceived(event));
        }
    }
}
