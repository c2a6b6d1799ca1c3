package org.citrontide.core.faults;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.dispatch.DispatchAction;
import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.dispatch.DispatchRequest;
import org.citrontide.core.dispatch.Dispatcher;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.verdict.Verdict;

/** An entry process around the real dispatcher. */
final class FakeEntry {
    /** One request of a caller; asks of the same caller with the same key share the name. */
    record Ask(long id, String name, boolean repeatable, boolean streamed, Optional<String> key) {
        Urgency urgency() {
            return Urgency.LIVE;
        }

        String team() {
            return "ashworth";
        }

        List<String> chunks(int skip) {
            List<String> chunks = new ArrayList<>();
            for (int i = skip; i < 4; i++) {
                chunks.add(streamed ? "data: " + name + i + "\n\n" : name + i + ";");
            }
            if (streamed) {
                chunks.add("data: [DONE]\n\n");
            }
            return chunks;
        }

        String content() {
            return String.join("", chunks(0));
        }
    }

    final int number;
    final FaultWorld world;
    int starts;
    private Dispatcher dispatcher;
    private final Map<Long, Ask> asks = new HashMap<>();
    private final Map<Long, StringBuilder> streams = new HashMap<>();

    FakeEntry(int number, FaultWorld world) {
        this.number = number;
        this.world = world;
    }

    void start() {
        starts++;
        asks.clear();
        streams.clear();
        dispatcher = new Dispatcher(
                "mill-brook",
                new UpstreamSubset("entry", "mill-brook", 100_000),
                new SplittableRandom(world.loop.random.nextLong()));
        step(new DispatchEvent.ConfigurationChanged(world.configuration));
        step(new DispatchEvent.VmListChanged(world.listed()));
        world.sidecars.forEach(s -> world.connect(this, s));
    }

    /** Ends all callers' connections; a new process takes the place of this one. */
    void kill() {
        List<Ask> lost = List.copyOf(asks.values());
        start();
        lost.forEach(a -> world.brokenOff(a));
    }

    void ask(Ask a) {
        asks.put(a.id(), a);
        Optional<Integer> bucket = a.key()
                .filter(k -> !a.repeatable())
                .map(k -> KeyHash.of("booking", a.team(), k).bucket());
        step(new DispatchEvent.RequestArrived(new DispatchRequest(
                a.id(),
                "booking",
                a.team(),
                a.urgency(),
                1,
                a.repeatable(),
                bucket,
                world.loop.now() + 10 * EventLoop.SECOND)));
    }

    void step(DispatchEvent event) {
        int start = starts;
        for (DispatchAction a : dispatcher.handle(event, world.loop.now())) {
            if (start == starts) {
                perform(a);
            }
        }
    }

    void tick() {
        step(new DispatchEvent.Tick());
    }

    private void perform(DispatchAction action) {
        switch (action) {
            case DispatchAction.SendAttempt s -> {
                Ask a = asks.get(s.request());
                long left = s.remaining().toNanos();
                FakeSidecar target = world.sidecar(s.upstream());
                int resume = s.resumeAfterEvents();
                int start = starts;
                world.attempts++;
                world.at(
                        Step.ATTEMPT_SENT,
                        target,
                        this,
                        () -> world.toSidecar(
                                this, target, () -> target.attempt(this, start, s.attempt(), a, left, resume)));
            }
            case DispatchAction.CancelAttempt c -> {
                FakeSidecar target = world.sidecar(c.upstream());
                world.toSidecar(this, target, () -> target.cancel(this, c.attempt()));
            }
            case DispatchAction.SendAnswer a ->
                end(a.request(), new Verdict.Completed(a.status()), new String(a.body(), StandardCharsets.UTF_8));
            case DispatchAction.BeginStream b -> streams.put(b.request(), new StringBuilder());
            case DispatchAction.SendEvents s ->
                streams.get(s.request()).append(new String(s.data(), StandardCharsets.UTF_8));
            case DispatchAction.EndStream s ->
                end(s.request(), s.verdict(), streams.remove(s.request()).toString());
            case DispatchAction.RefuseRequest r -> end(r.request(), r.verdict(), "");
            default -> {
                // Links and credit are the shell's.
            }
        }
    }

    private void end(long request, Verdict verdict, String content) {
        Ask a = asks.remove(request);
        world.ended(a, verdict, content);
    }
}
