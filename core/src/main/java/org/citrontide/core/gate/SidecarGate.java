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
import org.citrontide.core.queue.SidecarQueue;
import org.citrontide.core.queue.Waiting;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * The gate before one upstream: queue, slots, claims and drain.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>At most {@link ServiceFile.Limits#slots()} attempts hold a slot; an attempt holds one from the moment it leaves
 *       the queue until its end. Attempts of lower classes leave {@link ServiceFile.Limits#liveSlots()} to live ones.
 *   <li>Every attempt that arrived ends in exactly one {@link GateAction.End} or {@link GateAction.Replay}.
 *   <li>An attempt that ends in {@link Verdict.NotRun} was never started, or its call never left.
 *   <li>A call that must not be repeated and has a key starts only under a claim; it goes on after its caller has
 *       left, so that its answer is known.
 *   <li>After {@link GateEvent.Drain} nothing new starts, except attempts that already hold a slot.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock.
 */
public final class SidecarGate {
    private static final Duration LEAST_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
    private static final double SERVICE_TIME_WEIGHT = 0.1;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ClaimLedger ledger;
    private final LiveDemand liveDemand = new LiveDemand();
    private final Map<Long, GateRequest> waiting = new HashMap<>();
    private final Map<Long, Slot> slots = new HashMap<>();
    private Optional<ServiceFile> file = Optional.empty();
    private Optional<SidecarQueue> queue = Optional.empty();
    private boolean draining;
    private boolean drainedReported;
    private double serviceMillis;

    /**
     * Makes a gate that refuses everything until it is configured.
     *
     * @param incarnation random number drawn at the start of this process
     */
    public SidecarGate(long incarnation) {
        this.ledger = new ClaimLedger(incarnation, Duration.ofDays(1));
    }

    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowNanos monotonic time in ns
     * @param epochMillis wall-clock time in ms since 1970
     * @return what the shell must do, in order
     */
    public List<GateAction> on(GateEvent event, long nowNanos, long epochMillis) {
        Step step = new Step(nowNanos, epochMillis);
        switch (event) {
            case GateEvent.Arrived a -> step.arrived(a.request());
            case GateEvent.Cancelled c -> step.cancelled(c.id());
            case GateEvent.Ended e -> step.ended(e.id(), e.outcome());
            case GateEvent.ClaimAnswered c -> step.claim(c.event());
            case GateEvent.Configured c -> configure(c.file());
            case GateEvent.Drain d -> step.drain();
            case GateEvent.Tick t -> step.tick();
        }
        step.fillSlots();
        step.reportDrained();
        return step.out;
    }

    /**
     * Returns the state that entries are told.
     *
     * @return load and readiness
     */
    public SidecarReport report() {
        int count = queue.map(SidecarQueue::size).orElse(0);
        return new SidecarReport(
                file.isPresent() && !draining, slots.size(), count, (int) waitMillis(), maxSlots(), liveAhead());
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

    private void configure(ServiceFile f) {
        file = Optional.of(f);
        ledger.configure(f.limits().claimWindow());
        QueueShares shares = QueueShares.of(f);
        queue.ifPresentOrElse(q -> q.configure(shares), () -> queue = Optional.of(new SidecarQueue(shares)));
    }

    private int liveRunning() {
        return (int) slots.values().stream()
                .filter(s -> s.request.waiting().urgency() == Urgency.LIVE)
                .count();
    }

    private int liveAhead() {
        return liveRunning() + queue.map(q -> q.size(Urgency.LIVE)).orElse(0);
    }

    private int maxSlots() {
        return file.map(f -> f.limits().slots()).orElse(0);
    }

    private double waitMillis() {
        int ahead = queue.map(SidecarQueue::size).orElse(0);
        return ahead == 0 ? 0 : serviceMillis * ahead / Math.max(1, maxSlots());
    }

    private Duration retryAfter() {
        Duration wait = Duration.ofMillis((long) waitMillis());
        if (wait.compareTo(LEAST_RETRY_AFTER) < 0) {
            return LEAST_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    private static final class Slot {
        private final GateRequest request;
        private final long sinceNanos;
        private boolean started;
        private boolean cancelled;

        private Slot(GateRequest request, long sinceNanos) {
            this.request = request;
            this.sinceNanos = sinceNanos;
        }
    }

    /** The handling of one event. */
    private final class Step {
        private final long nowNanos;
        private final long epochMillis;
        private final List<GateAction> out = new ArrayList<>();

        private Step(long nowNanos, long epochMillis) {
            this.nowNanos = nowNanos;
            this.epochMillis = epochMillis;
        }

        private void arrived(GateRequest r) {
            if (draining) {
                refuse(r.id(), Reason.DRAINING, Duration.ZERO);
                return;
            }
            if (queue.isEmpty()) {
                refuse(r.id(), Reason.NOT_READY, LEAST_RETRY_AFTER);
                return;
            }
            if (nowNanos >= r.waiting().deadlineNanos() || epochMillis >= r.latestEpochMillis()) {
                refuse(r.id(), Reason.DEADLINE, Duration.ZERO);
                return;
            }
            waiting.put(r.id(), r);
            if (r.waiting().urgency() == Urgency.LIVE) {
                liveDemand.arrived(liveAhead() + 1, nowNanos);
            }
            queue.get().offer(r.waiting()).ifPresent(victim -> {
                waiting.remove(victim.id());
                refuse(victim.id(), Reason.OVERLOADED, retryAfter());
            });
        }

        private void cancelled(long id) {
            if (waiting.remove(id) != null) {
                queue.orElseThrow().remove(id);
                refuse(id, Reason.CANCELLED, Duration.ZERO);
                return;
            }
            Slot slot = slots.get(id);
            if (slot == null) {
                return;
            }
            if (!slot.started) {
                slots.remove(id);
                claim(new ClaimEvent.CallNotSent(id));
                refuse(id, Reason.CANCELLED, Duration.ZERO);
            } else if (slot.request.repeatable()) {
                slot.cancelled = true;
                out.add(new GateAction.Abort(id));
            }
        }

        private void ended(long id, CallOutcome outcome) {
            Slot slot = slots.remove(id);
            if (slot == null) {
                return;
            }
            boolean claimed = slot.request.needsClaim();
            switch (outcome) {
                case CallOutcome.Answered a -> {
                    learnServiceTime(slot);
                    out.add(new GateAction.End(id, new Verdict.Completed(a.status()), a.length()));
                    if (claimed) {
                        claim(new ClaimEvent.CallFinished(id, a.answer()));
                    }
                }
                case CallOutcome.NeverSent n -> {
                    refuse(id, n.reason(), LEAST_RETRY_AFTER);
                    if (claimed) {
                        claim(new ClaimEvent.CallNotSent(id));
                    }
                }
                case CallOutcome.Lost l -> {
                    Reason reason = slot.cancelled ? Reason.CANCELLED : l.reason();
                    out.add(new GateAction.End(id, new Verdict.MayHaveRun(reason), 0));
                    if (claimed) {
                        claim(new ClaimEvent.CallFinished(id, Optional.empty()));
                    }
                }
            }
        }

        private void learnServiceTime(Slot slot) {
            double millis = (nowNanos - slot.sinceNanos) / NANOS_PER_MILLI;
            serviceMillis =
                    serviceMillis == 0 ? millis : serviceMillis + SERVICE_TIME_WEIGHT * (millis - serviceMillis);
        }

        private void claim(ClaimEvent event) {
            for (ClaimAction a : ledger.on(event, nowNanos, epochMillis)) {
                switch (a) {
                    case ClaimAction.ReadBucket r -> out.add(new GateAction.ClaimCall(r));
                    case ClaimAction.WriteBucket w -> out.add(new GateAction.ClaimCall(w));
                    case ClaimAction.GrantClaim g -> granted(g.attempt());
                    case ClaimAction.DenyClaim d -> {
                        slots.remove(d.attempt());
                        out.add(new GateAction.End(d.attempt(), d.verdict(), 0));
                    }
                    case ClaimAction.ReplayResponse r -> {
                        slots.remove(r.attempt());
                        out.add(new GateAction.Replay(r.attempt(), r.response()));
                    }
                }
            }
        }

        private void granted(long id) {
            Slot slot = slots.get(id);
            Optional<ClaimLedger.LatestStart> latest = ledger.latestStart(id);
            if (slot == null || latest.isEmpty()) {
                return;
            }
            start(slot, latest.get().nanos(), latest.get().epochMillis());
        }

        private void start(Slot slot, long latestNanos, long latestEpochMillis) {
            slot.started = true;
            long latest = Math.min(latestNanos, slot.request.waiting().deadlineNanos());
            long latestEpoch = Math.min(latestEpochMillis, slot.request.latestEpochMillis());
            out.add(new GateAction.Start(slot.request.id(), latest, latestEpoch));
        }

        private void drain() {
            draining = true;
            queue.ifPresent(q -> q.drain().forEach(w -> {
                waiting.remove(w.id());
                refuse(w.id(), Reason.DRAINING, Duration.ZERO);
            }));
        }

        private void tick() {
            queue.ifPresent(q -> q.expire(nowNanos).forEach(w -> {
                waiting.remove(w.id());
                refuse(w.id(), Reason.DEADLINE, Duration.ZERO);
            }));
            claim(new ClaimEvent.Tick());
        }

        private void fillSlots() {
            while (queue.isPresent() && slots.size() < maxSlots()) {
                Optional<Waiting> next = takeNext();
                if (next.isEmpty()) {
                    return;
                }
                begin(waiting.remove(next.get().id()));
            }
        }

        /** Lower classes leave slots free, so that a live request need not wait for one of theirs to end. */
        private Optional<Waiting> takeNext() {
            int live = liveRunning();
            int lower = slots.size() - live;
            SidecarQueue q = queue.orElseThrow();
            if (lower >= maxSlots() - file.orElseThrow().limits().liveSlots()) {
                return q.takeLive();
            }
            return lower < maxSlots() - liveDemand.reserve() ? q.take() : q.takeLiveOrDue();
        }

        private void begin(GateRequest r) {
            if (nowNanos >= r.waiting().deadlineNanos()) {
                refuse(r.id(), Reason.DEADLINE, Duration.ZERO);
                return;
            }
            Slot slot = new Slot(r, nowNanos);
            slots.put(r.id(), slot);
            if (r.needsClaim()) {
                claim(new ClaimEvent.ClaimRequested(
                        r.id(), r.key().orElseThrow(), r.waiting().deadlineNanos()));
                return;
            }
            start(slot, Long.MAX_VALUE, Long.MAX_VALUE);
        }

        private void reportDrained() {
            if (draining && slots.isEmpty() && !drainedReported) {
                drainedReported = true;
                out.add(new GateAction.Drained());
            }
        }

        private void refuse(long id, Reason reason, Duration retryAfter) {
            out.add(new GateAction.End(id, new Verdict.NotRun(reason, retryAfter), 0));
        }
    }
}
