package org.citrontide.core.gate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.ClaimEvent;
import org.citrontide.core.claim.ClaimLedger;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.queue.QueueShares;
import org.citrontide.core.queue.QueuedRequest;
import org.citrontide.core.queue.SidecarQueue;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Controls access to one upstream: queueing, concurrency slots, claims and draining.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>At most {@link ServiceFile.Limits#slots()} attempts hold a slot; an attempt holds one from the moment it leaves
 *       the queue until its end. Attempts of lower classes leave {@link ServiceFile.Limits#liveSlots()} to live ones.
 *   <li>Every attempt that arrives ends in exactly one {@link GateAction.EndAttempt} or {@link
 *       GateAction.ReplayAnswer}.
 *   <li>An attempt that ends in {@link Verdict.NotRun} was never started, or its call was never sent.
 *   <li>A call that is not repeatable and has a key starts only under a claim; it continues after its caller has
 *       disconnected, so that its answer is known.
 *   <li>After {@link GateEvent.DrainRequested} no attempt starts except those that already hold a slot.
 * </ul>
 *
 * <p>Not thread-safe: confined to one thread. Does no I/O and reads no clock.
 */
public final class SidecarGate {
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
    private static final double SERVICE_TIME_WEIGHT = 0.1;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ClaimLedger ledger;
    private final LiveDemand liveDemand = new LiveDemand();
    private final Map<Long, GateRequest> waiting = new HashMap<>();
    private final Map<Long, Slot> slots = new HashMap<>();
    private Optional<ServiceFile> file = Optional.empty();
    private Optional<SidecarQueue> queue = Optional.empty();
    private boolean isDraining;
    private boolean isDrainReported;
    private double meanServiceMillis;

    /**
     * Creates a gate that refuses every attempt until it is configured.
     *
     * @param incarnation random number that identifies this run of the process
     */
    public SidecarGate(long incarnation) {
        this.ledger = new ClaimLedger(incarnation, Duration.ofDays(1));
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @param epochMillis wall-clock time in ms since 1970
     * @return the actions for the shell to perform, in order
     */
    public List<GateAction> handle(GateEvent event, long nowNanos, long epochMillis) {
        EventHandler handler = new EventHandler(nowNanos, epochMillis);
        switch (event) {
            case GateEvent.AttemptArrived a -> handler.handleAttemptArrived(a.request());
            case GateEvent.AttemptCancelled c -> handler.handleAttemptCancelled(c.id());
            case GateEvent.CallEnded e -> handler.handleCallEnded(e.id(), e.outcome());
            case GateEvent.ClaimReplyReceived c -> handler.handleClaimEvent(c.event());
            case GateEvent.ConfigurationChanged c -> configure(c.file());
            case GateEvent.DrainRequested d -> handler.drain();
            case GateEvent.Tick t -> handler.expireAttempts();
        }
        handler.fillSlots();
        handler.reportDrained();
        return handler.actions;
    }

    /**
     * Returns the state to report to the entries.
     *
     * @return load and readiness
     */
    public SidecarReport report() {
        int count = queue.map(SidecarQueue::size).orElse(0);
        return new SidecarReport(
                file.isPresent() && !isDraining,
                slots.size(),
                count,
                (int) estimatedWaitMillis(),
                maxSlots(),
                liveAttempts());
    }

    /**
     * Returns the earliest deadline of an attempt that has not started.
     *
     * @return monotonic time in ns, {@link Long#MAX_VALUE} if there is none
     */
    public long nextDeadlineNanos() {
        long queued = queue.flatMap(SidecarQueue::nextDeadlineNanos).orElse(Long.MAX_VALUE);
        return Math.min(queued, ledger.nextDeadlineNanos());
    }

    private void configure(ServiceFile newFile) {
        file = Optional.of(newFile);
        ledger.configure(newFile.limits().claimWindow());
        QueueShares shares = QueueShares.of(newFile);
        queue.ifPresentOrElse(q -> q.configure(shares), () -> queue = Optional.of(new SidecarQueue(shares)));
    }

    private int liveSlotsInUse() {
        return (int) slots.values().stream()
                .filter(s -> s.request.queued().urgency() == Urgency.LIVE)
                .count();
    }

    private int liveAttempts() {
        return liveSlotsInUse() + queue.map(q -> q.size(Urgency.LIVE)).orElse(0);
    }

    private int maxSlots() {
        return file.map(f -> f.limits().slots()).orElse(0);
    }

    private double estimatedWaitMillis() {
        int ahead = queue.map(SidecarQueue::size).orElse(0);
        return ahead == 0 ? 0 : meanServiceMillis * ahead / Math.max(1, maxSlots());
    }

    private Duration retryAfter() {
        Duration wait = Duration.ofMillis((long) estimatedWaitMillis());
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    private static final class Slot {
        private final GateRequest request;
        private final long occupiedSinceNanos;
        private boolean isStarted;
        private boolean isCancelled;

        private Slot(GateRequest request, long occupiedSinceNanos) {
            this.request = request;
            this.occupiedSinceNanos = occupiedSinceNanos;
        }
    }

    /** Handles one event and collects the resulting actions. */
    private final class EventHandler {
        private final long nowNanos;
        private final long epochMillis;
        private final List<GateAction> actions = new ArrayList<>();

        private EventHandler(long nowNanos, long epochMillis) {
            this.nowNanos = nowNanos;
            this.epochMillis = epochMillis;
        }

        private void handleAttemptArrived(GateRequest request) {
            if (isDraining) {
                refuse(request.id(), Reason.DRAINING, Duration.ZERO);
                return;
            }
            if (queue.isEmpty()) {
                refuse(request.id(), Reason.NOT_READY, MIN_RETRY_AFTER);
                return;
            }
            if (nowNanos >= request.queued().deadlineNanos() || epochMillis >= request.latestEpochMillis()) {
                refuse(request.id(), Reason.DEADLINE, Duration.ZERO);
                return;
            }
            waiting.put(request.id(), request);
            if (request.queued().urgency() == Urgency.LIVE) {
                liveDemand.recordArrival(liveAttempts() + 1, nowNanos);
            }
            queue.get().offer(request.queued()).ifPresent(evicted -> {
                waiting.remove(evicted.id());
                refuse(evicted.id(), Reason.OVERLOADED, retryAfter());
            });
        }

        private void handleAttemptCancelled(long id) {
            if (waiting.remove(id) != null) {
                queue.orElseThrow().remove(id);
                refuse(id, Reason.CANCELLED, Duration.ZERO);
                return;
            }
            Slot slot = slots.get(id);
            if (slot == null) {
                return;
            }
            if (!slot.isStarted) {
                slots.remove(id);
                handleClaimEvent(new ClaimEvent.CallNotSent(id));
                refuse(id, Reason.CANCELLED, Duration.ZERO);
            } else if (slot.request.isRepeatable()) {
                slot.isCancelled = true;
                actions.add(new GateAction.AbortCall(id));
            }
        }

        private void handleCallEnded(long id, CallOutcome outcome) {
            Slot slot = slots.remove(id);
            if (slot == null) {
                return;
            }
            boolean hasClaim = slot.request.needsClaim();
            switch (outcome) {
                case CallOutcome.Answered a -> {
                    recordServiceTime(slot);
                    actions.add(new GateAction.EndAttempt(id, new Verdict.Completed(a.status()), a.length()));
                    if (hasClaim) {
                        handleClaimEvent(new ClaimEvent.CallFinished(id, a.answer()));
                    }
                }
                case CallOutcome.NeverSent n -> {
                    refuse(id, n.reason(), MIN_RETRY_AFTER);
                    if (hasClaim) {
                        handleClaimEvent(new ClaimEvent.CallNotSent(id));
                    }
                }
                case CallOutcome.AnswerLost l -> {
                    Reason reason = slot.isCancelled ? Reason.CANCELLED : l.reason();
                    actions.add(new GateAction.EndAttempt(id, new Verdict.MayHaveRun(reason), 0));
                    if (hasClaim) {
                        handleClaimEvent(new ClaimEvent.CallFinished(id, Optional.empty()));
                    }
                }
            }
        }

        private void recordServiceTime(Slot slot) {
            double millis = (nowNanos - slot.occupiedSinceNanos) / NANOS_PER_MILLI;
            meanServiceMillis = meanServiceMillis == 0
                    ? millis
                    : meanServiceMillis + SERVICE_TIME_WEIGHT * (millis - meanServiceMillis);
        }

        private void handleClaimEvent(ClaimEvent event) {
            for (ClaimAction a : ledger.handle(event, nowNanos, epochMillis)) {
                switch (a) {
                    case ClaimAction.ReadBucket r -> actions.add(new GateAction.CallClaimStore(r));
                    case ClaimAction.WriteBucket w -> actions.add(new GateAction.CallClaimStore(w));
                    case ClaimAction.GrantClaim g -> handleClaimGranted(g.attempt());
                    case ClaimAction.DenyClaim d -> {
                        slots.remove(d.attempt());
                        actions.add(new GateAction.EndAttempt(d.attempt(), d.verdict(), 0));
                    }
                    case ClaimAction.ReplayResponse r -> {
                        slots.remove(r.attempt());
                        actions.add(new GateAction.ReplayAnswer(r.attempt(), r.response()));
                    }
                }
            }
        }

        private void handleClaimGranted(long id) {
            Slot slot = slots.get(id);
            Optional<ClaimLedger.LatestStart> latest = ledger.latestStart(id);
            if (slot == null || latest.isEmpty()) {
                return;
            }
            startCall(slot, latest.get().nanos(), latest.get().epochMillis());
        }

        private void startCall(Slot slot, long latestNanos, long latestEpochMillis) {
            slot.isStarted = true;
            long latest = Math.min(latestNanos, slot.request.queued().deadlineNanos());
            long latestEpoch = Math.min(latestEpochMillis, slot.request.latestEpochMillis());
            actions.add(new GateAction.StartCall(slot.request.id(), latest, latestEpoch));
        }

        private void drain() {
            isDraining = true;
            queue.ifPresent(q -> q.drain().forEach(queued -> {
                waiting.remove(queued.id());
                refuse(queued.id(), Reason.DRAINING, Duration.ZERO);
            }));
        }

        private void expireAttempts() {
            queue.ifPresent(q -> q.expire(nowNanos).forEach(queued -> {
                waiting.remove(queued.id());
                refuse(queued.id(), Reason.DEADLINE, Duration.ZERO);
            }));
            handleClaimEvent(new ClaimEvent.Tick());
        }

        private void fillSlots() {
            while (queue.isPresent() && slots.size() < maxSlots()) {
                Optional<QueuedRequest> next = takeNext();
                if (next.isEmpty()) {
                    return;
                }
                occupySlot(waiting.remove(next.get().id()));
            }
        }

        /**
         * Takes the next request to start. Lower classes leave slots free, so that a live request does not have to wait
         * until a call of a lower class ends.
         */
        private Optional<QueuedRequest> takeNext() {
            int liveInUse = liveSlotsInUse();
            int lowerSlotsInUse = slots.size() - liveInUse;
            SidecarQueue sidecarQueue = queue.orElseThrow();
            if (lowerSlotsInUse >= maxSlots() - file.orElseThrow().limits().liveSlots()) {
                return sidecarQueue.takeLive();
            }
            return lowerSlotsInUse < maxSlots() - liveDemand.reservedSlots()
                    ? sidecarQueue.take()
                    : sidecarQueue.takeLiveOrGuaranteed();
        }

        private void occupySlot(GateRequest request) {
            if (nowNanos >= request.queued().deadlineNanos()) {
                refuse(request.id(), Reason.DEADLINE, Duration.ZERO);
                return;
            }
            Slot slot = new Slot(request, nowNanos);
            slots.put(request.id(), slot);
            if (request.needsClaim()) {
                handleClaimEvent(new ClaimEvent.ClaimRequested(
                        request.id(),
                        request.key().orElseThrow(),
                        request.queued().deadlineNanos()));
                return;
            }
            startCall(slot, Long.MAX_VALUE, Long.MAX_VALUE);
        }

        private void reportDrained() {
            if (isDraining && slots.isEmpty() && !isDrainReported) {
                isDrainReported = true;
                actions.add(new GateAction.ReportDrained());
            }
        }

        private void refuse(long id, Reason reason, Duration retryAfter) {
            actions.add(new GateAction.EndAttempt(id, new Verdict.NotRun(reason, retryAfter), 0));
        }
    }
}
