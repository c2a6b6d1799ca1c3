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
import org.citrontide.core.claim.StoredAnswer;
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

/** A sidecar process around the real gate, and the upstream behind it. */
final class FakeSidecar {
    private static final long CALL_NANOS = 20 * EventLoop.MILLI;

    private record Open(FakeEntry entry, int entryStart, long attempt, FakeEntry.Ask ask, int resume) {}

    final UpstreamId id;
    final FaultWorld world;
    long frozenUntil;
    int upstreamBreaks;
    private SidecarGate gate;
    private int starts;
    private long nextNumber = 1;
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<FakeEntry, AttemptSequence> sequences = new HashMap<>();
    private final Set<Long> aborted = new HashSet<>();

    FakeSidecar(UpstreamId id, FaultWorld world) {
        this.id = id;
        this.world = world;
        start();
    }

    void start() {
        starts++;
        open.clear();
        sequences.clear();
        gate = new SidecarGate(1000L * id.port() + starts);
        step(new GateEvent.ConfigurationChanged(world.service));
    }

    /** Runs on this process's thread, if this start of it still lives, once it is not frozen. */
    private void inProcess(Runnable run) {
        int start = starts;
        whenThawed(() -> {
            if (start == starts) {
                run.run();
            }
        });
    }

    private void whenThawed(Runnable run) {
        if (world.loop.now() >= frozenUntil) {
            run.run();
        } else {
            world.loop.after(frozenUntil - world.loop.now(), () -> whenThawed(run));
        }
    }

    void attempt(FakeEntry entry, int entryStart, long attempt, FakeEntry.Ask ask, long remainingNanos, int resume) {
        long deadlineEpoch = world.loop.epochMillis() + remainingNanos / EventLoop.MILLI;
        inProcess(() -> {
            if (!sequences.computeIfAbsent(entry, e -> new AttemptSequence()).accept(attempt)) {
                return;
            }
            long number = nextNumber++;
            open.put(number, new Open(entry, entryStart, attempt, ask, resume));
            QueuedRequest w =
                    new QueuedRequest(number, ask.urgency(), ask.team(), 1, world.loop.now() + remainingNanos);
            Optional<KeyHash> key = ask.key().map(k -> KeyHash.of("booking", ask.team(), k));
            step(new GateEvent.AttemptArrived(new GateRequest(w, ask.repeatable(), key, deadlineEpoch)));
        });
    }

    void cancel(FakeEntry entry, long attempt) {
        inProcess(() -> List.copyOf(open.entrySet()).stream()
                .filter(e -> e.getValue().entry() == entry && e.getValue().attempt() == attempt)
                .forEach(e -> step(new GateEvent.AttemptCancelled(e.getKey()))));
    }

    void linkLost(FakeEntry entry) {
        inProcess(() -> sequences.remove(entry));
        inProcess(() -> List.copyOf(open.entrySet()).stream()
                .filter(e -> e.getValue().entry() == entry)
                .forEach(e -> step(new GateEvent.AttemptCancelled(e.getKey()))));
    }

    void tick() {
        inProcess(() -> step(new GateEvent.Tick()));
    }

    void drain() {
        inProcess(() -> step(new GateEvent.DrainRequested()));
    }

    void report(FakeEntry entry) {
        world.toEntry(this, entry, new DispatchEvent.ReportReceived(id, gate.report()));
    }

    private void step(GateEvent event) {
        int start = starts;
        for (GateAction a : gate.handle(event, world.loop.now(), world.loop.epochMillis())) {
            if (start == starts) {
                perform(a);
            }
        }
    }

    private void perform(GateAction action) {
        int start = starts;
        switch (action) {
            case GateAction.StartCall s -> world.at(Step.CALL_LEAVING, this, entryOf(s.id()), () -> leave(s, start));
            case GateAction.AbortCall a -> aborted.add(a.id());
            case GateAction.CallClaimStore c -> claimCall(c.call());
            case GateAction.ReplayAnswer r -> replay(r);
            case GateAction.EndAttempt e -> {
                Open o = open.remove(e.id());
                if (o != null) {
                    answer(Step.ANSWER_END, o, new DispatchEvent.AttemptEnded(o.attempt(), e.verdict(), e.length()));
                }
            }
            case GateAction.DrainCompleted d -> {
                // Only the shell waits for this.
            }
        }
    }

    private FakeEntry entryOf(long number) {
        return open.containsKey(number) ? open.get(number).entry() : world.entries.getFirst();
    }

    /** The last check of both clocks happens when the process's thread gets to it, however late. */
    private void leave(GateAction.StartCall s, int start) {
        inProcess(() -> {
            if (start != starts) {
                return;
            }
            boolean inTime = world.loop.now() < s.latestNanos() && world.loop.epochMillis() < s.latestEpochMillis();
            Open o = open.get(s.id());
            if (!inTime) {
                step(new GateEvent.CallEnded(s.id(), new CallOutcome.NeverSent(Reason.DEADLINE)));
                return;
            }
            world.ran(o.ask());
            world.at(
                    Step.CALL_RUNNING,
                    this,
                    o.entry(),
                    () -> world.loop.after(
                            CALL_NANOS,
                            () -> inProcess(() -> {
                                finishCall(s.id(), o);
                            })));
        });
    }

    private void finishCall(long number, Open o) {
        if (aborted.remove(number) || upstreamBreaks-- > 0) {
            step(new GateEvent.CallEnded(number, new CallOutcome.AnswerLost(Reason.CONNECTION_LOST)));
            return;
        }
        String type = o.ask().streamed() ? "text/event-stream" : "text/plain";
        List<String> chunks = o.ask().chunks(o.resume());
        answer(Step.ANSWER_HEAD, o, new DispatchEvent.AnswerHead(o.attempt(), 200, type));
        long offset = 0;
        StringBuilder whole = new StringBuilder();
        for (String c : chunks) {
            byte[] bytes = c.getBytes(StandardCharsets.UTF_8);
            answer(Step.ANSWER_CHUNK, o, new DispatchEvent.AnswerChunk(o.attempt(), offset, bytes));
            offset += bytes.length;
            whole.append(c);
        }
        StoredAnswer kept = new StoredAnswer(200, type, whole.toString().getBytes(StandardCharsets.UTF_8));
        step(new GateEvent.CallEnded(number, new CallOutcome.Answered(200, offset, Optional.of(kept))));
    }

    private void replay(GateAction.ReplayAnswer r) {
        Open o = open.remove(r.id());
        StoredAnswer a = r.answer();
        answer(Step.ANSWER_HEAD, o, new DispatchEvent.AnswerHead(o.attempt(), a.status(), a.contentType()));
        answer(Step.ANSWER_CHUNK, o, new DispatchEvent.AnswerChunk(o.attempt(), 0, a.body()));
        answer(
                Step.ANSWER_END,
                o,
                new DispatchEvent.AttemptEnded(o.attempt(), new Verdict.Completed(200), a.body().length));
    }

    private void answer(Step step, Open o, DispatchEvent event) {
        world.at(step, this, o.entry(), () -> world.toEntry(this, o.entry(), o.entryStart(), event));
    }

    private void claimCall(ClaimAction call) {
        Step step = call instanceof ClaimAction.Read ? Step.CLAIM_READ : Step.CLAIM_WRITE;
        int bucket = FakeClaimStore.bucket(call);
        int start = starts;
        boolean[] answered = new boolean[1];
        Runnable lost = () -> reply(start, answered, new ClaimEvent.BucketFailed(bucket, step == Step.CLAIM_WRITE));
        world.loop.after(2 * EventLoop.SECOND, () -> inProcess(lost));
        world.at(
                step,
                this,
                world.entries.getFirst(),
                () -> world.loop.send("store" + id, () -> {
                    if (world.store.down) {
                        inProcess(() -> reply(start, answered, new ClaimEvent.BucketFailed(bucket, false)));
                        return;
                    }
                    ClaimEvent reply = world.store.carryOut(call);
                    if (world.loseStoreAnswers > 0) {
                        world.loseStoreAnswers--;
                        return;
                    }
                    world.at(
                            Step.CLAIM_WRITE_ANSWER,
                            this,
                            world.entries.getFirst(),
                            () -> world.loop.send(
                                    "fromstore" + id, () -> inProcess(() -> reply(start, answered, reply))));
                }));
    }

    private void reply(int start, boolean[] answered, ClaimEvent event) {
        if (start == starts && !answered[0]) {
            answered[0] = true;
            step(new GateEvent.ClaimReplyReceived(event));
        }
    }
}
