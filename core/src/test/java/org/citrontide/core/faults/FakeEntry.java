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

/** A simulated entry process around the real dispatcher. */
final class FakeEntry {
    /** A request of a caller. Retries of a request share its name. */
    record CallerRequest(long id, String name, boolean repeatable, boolean streamed, Optional<String> key) {
        Urgency urgency() {
            return Urgency.LIVE;
        }

        String team() {
            return "ashworth";
        }

        List<String> chunks(int skippedChunks) {
            List<String> chunks = new ArrayList<>();
            for (int i = skippedChunks; i < 4; i++) {
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
    final FaultSimulation simulation;
    int incarnation;
    private Dispatcher dispatcher;
    private final Map<Long, CallerRequest> openRequests = new HashMap<>();
    private final Map<Long, StringBuilder> streamContents = new HashMap<>();

    FakeEntry(int number, FaultSimulation simulation) {
        this.number = number;
        this.simulation = simulation;
    }

    void start() {
        incarnation++;
        openRequests.clear();
        streamContents.clear();
        dispatcher = new Dispatcher(
                "mill-brook",
                new UpstreamSubset("entry", "mill-brook", 100_000),
                new SplittableRandom(simulation.loop.random.nextLong()));
        handle(new DispatchEvent.ConfigurationChanged(simulation.configuration));
        handle(new DispatchEvent.VmListChanged(simulation.vmList()));
        simulation.sidecars.forEach(s -> simulation.connect(this, s));
    }

    /** Replaces the process by a new one; all connections of its callers are lost. */
    void killAndRestart() {
        List<CallerRequest> lost = List.copyOf(openRequests.values());
        start();
        lost.forEach(callerRequest -> simulation.callerConnectionLost(callerRequest));
    }

    void submit(CallerRequest callerRequest) {
        openRequests.put(callerRequest.id(), callerRequest);
        Optional<Integer> bucket = callerRequest
                .key()
                .filter(k -> !callerRequest.repeatable())
                .map(k -> KeyHash.of("booking", callerRequest.team(), k).bucket());
        handle(new DispatchEvent.RequestArrived(new DispatchRequest(
                callerRequest.id(),
                "booking",
                callerRequest.team(),
                callerRequest.urgency(),
                1,
                callerRequest.repeatable(),
                bucket,
                simulation.loop.now() + 10 * EventLoop.SECOND)));
    }

    void handle(DispatchEvent event) {
        int initialIncarnation = incarnation;
        for (DispatchAction a : dispatcher.handle(event, simulation.loop.now())) {
            if (initialIncarnation == incarnation) {
                perform(a);
            }
        }
    }

    void tick() {
        handle(new DispatchEvent.Tick());
    }

    private void perform(DispatchAction action) {
        switch (action) {
            case DispatchAction.SendAttempt s -> {
                CallerRequest callerRequest = openRequests.get(s.request());
                long remainingNanos = s.remaining().toNanos();
                FakeSidecar target = simulation.sidecar(s.upstream());
                int eventsToSkip = s.resumeAfterEvents();
                int initialIncarnation = incarnation;
                simulation.attemptCount++;
                simulation.deliverOrInject(
                        InjectionPoint.ATTEMPT_SENT,
                        target,
                        this,
                        () -> simulation.sendToSidecar(
                                this,
                                target,
                                () -> target.receiveAttempt(
                                        this,
                                        initialIncarnation,
                                        s.attempt(),
                                        callerRequest,
                                        remainingNanos,
                                        eventsToSkip)));
            }
            case DispatchAction.CancelAttempt c -> {
                FakeSidecar target = simulation.sidecar(c.upstream());
                simulation.sendToSidecar(this, target, () -> target.cancel(this, c.attempt()));
            }
            case DispatchAction.SendAnswer a ->
                finish(a.request(), new Verdict.Completed(a.status()), new String(a.body(), StandardCharsets.UTF_8));
            case DispatchAction.BeginStream b -> streamContents.put(b.request(), new StringBuilder());
            case DispatchAction.SendEvents s ->
                streamContents.get(s.request()).append(new String(s.data(), StandardCharsets.UTF_8));
            case DispatchAction.EndStream s ->
                finish(
                        s.request(),
                        s.verdict(),
                        streamContents.remove(s.request()).toString());
            case DispatchAction.RefuseRequest r -> finish(r.request(), r.verdict(), "");
            default -> {
                // The simulation does not model links and credit.
            }
        }
    }

    private void finish(long request, Verdict verdict, String content) {
        CallerRequest callerRequest = openRequests.remove(request);
        simulation.recordEnd(callerRequest, verdict, content);
    }
}
