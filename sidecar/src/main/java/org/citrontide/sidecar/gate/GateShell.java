package org.citrontide.sidecar.gate;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;
import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.gate.AttemptSequence;
import org.citrontide.core.gate.CallOutcome;
import org.citrontide.core.gate.GateAction;
import org.citrontide.core.gate.GateEvent;
import org.citrontide.core.gate.GateRequest;
import org.citrontide.core.gate.SidecarGate;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.queue.QueuedRequest;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.runtime.duty.Clock;
import org.citrontide.runtime.duty.EventLoop;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;
import org.citrontide.sidecar.upstream.UpstreamCall;
import org.citrontide.store.links.ProcessLinks;
import org.citrontide.wire.codec.VerdictCodec;
import org.citrontide.wire.generated.AnswerChunk;
import org.citrontide.wire.generated.AnswerEnd;
import org.citrontide.wire.generated.AnswerHead;
import org.citrontide.wire.generated.Attempt;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.StatusReport;
import org.citrontide.wire.link.Link;

/**
 * Runs the gate on a thread of its own, and joins it to the links, the upstream and the platform's service.
 *
 * <p>Invariant: the gate and the attempts under way are touched by the gate thread alone. Safe for use by many threads.
 */
public final class GateShell implements ProcessLinks.RoleLinks, AutoCloseable {
    private static final EventLog LOG = EventLog.of(GateShell.class);
    private static final int RING = 16_384;
    private static final int LOG_LINES_PER_SECOND = 50;
    private static final long TICK_NANOS = Duration.ofMillis(500).toNanos();
    private static final long REPORT_GAP_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration RING_FULL_RETRY_AFTER = Duration.ofSeconds(1);

    private final String service;
    private final UpstreamTarget target;
    private final ClaimStore claims;
    private final Clock clock;
    private final SidecarMetrics metrics;
    private final SidecarGate gate;
    private final EventLoop<SidecarEvent> duty;
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<AttemptKey, Long> numbers = new HashMap<>();
    private final Map<AttemptKey, UpstreamCall> calls = new ConcurrentHashMap<>();
    private final Map<Long, Link> links = new HashMap<>();
    private final Map<Long, AttemptSequence> sequences = new HashMap<>();
    private final LogRateLimiter logBudget = new LogRateLimiter(LOG_LINES_PER_SECOND);
    private final CountDownLatch drained = new CountDownLatch(1);
    private SidecarReport lastReport = new SidecarReport(false, 0, 0, 0, 0, 0);
    private long lastReportNanos;
    private long nextTickNanos;
    private long nextNumber = 1;

    /**
     * Prepares the shell; {@link #start()} starts it.
     *
     * @param service name of the service behind this sidecar
     * @param incarnation random number drawn at the start of this process
     * @param target the upstream
     * @param claims the claims of the service
     * @param clock source of time
     * @param metrics the sidecar's metrics
     */
    public GateShell(
            String service,
            long incarnation,
            UpstreamTarget target,
            ClaimStore claims,
            Clock clock,
            SidecarMetrics metrics) {
        this.service = service;
        this.target = target;
        this.claims = claims;
        this.clock = clock;
        this.metrics = metrics;
        this.gate = new SidecarGate(incarnation);
        this.duty = new EventLoop<>("gate", RING, new GateHandler());
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Takes a configuration that is in force.
     *
     * @param c the configuration
     */
    public void configured(Configuration c) {
        Optional.ofNullable(c.services().get(service))
                .ifPresent(f -> duty.put(new SidecarEvent.ForGate(new GateEvent.ConfigurationChanged(f))));
    }

    /**
     * Stops taking work and waits for what runs.
     *
     * @param limit longest time to wait
     * @return false if something still ran at the end
     */
    public boolean drain(Duration limit) {
        duty.put(new SidecarEvent.ForGate(new GateEvent.DrainRequested()));
        try {
            return drained.await(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void linkUp(Link link) {
        duty.put(new SidecarEvent.LinkChanged(link, true));
    }

    @Override
    public void linkDown(Link link) {
        duty.put(new SidecarEvent.LinkChanged(link, false));
    }

    @Override
    public void received(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case ATTEMPT -> attempt(link, frame.getAttempt());
            case CANCEL ->
                duty.put(new SidecarEvent.CancelReceived(
                        link.id(), frame.getCancel().getId()));
            case CREDIT ->
                Optional.ofNullable(calls.get(
                                new AttemptKey(link.id(), frame.getCredit().getId())))
                        .ifPresent(c -> c.grant(frame.getCredit().getBytes()));
            default ->
                LOG.debug("frame-unexpected").with("kind", frame.getBodyCase()).write();
        }
    }

    @Override
    public void close() {
        duty.close();
    }

    private void attempt(Link link, Attempt a) {
        if (!duty.offer(new SidecarEvent.AttemptReceived(link, a))) {
            Verdict v = new Verdict.NotRun(Reason.RING_FULL, RING_FULL_RETRY_AFTER);
            link.send(Frame.newBuilder()
                    .setAnswerEnd(VerdictCodec.encode(a.getId(), v, 0))
                    .build());
        }
    }

    private void arrived(Link link, Attempt a, long nowNanos) {
        AttemptSequence sequence = sequences.computeIfAbsent(link.id(), l -> new AttemptSequence());
        if (!sequence.accept(a.getId())) {
            LOG.warn("attempt-repeated").with("request", a.getRequestId()).write();
            return;
        }
        long number = nextNumber++;
        AttemptKey key = new AttemptKey(link.id(), a.getId());
        open.put(number, new Open(key, link, a, nowNanos));
        numbers.put(key, number);
        Urgency urgency = Urgency.ofOrdinal(a.getUrgency());
        long deadline = nowNanos + Duration.ofMillis(a.getRemainingMs()).toNanos();
        Optional<KeyHash> hash = a.getIdempotencyKey().isEmpty()
                ? Optional.empty()
                : Optional.of(KeyHash.of(service, a.getTeam(), a.getIdempotencyKey()));
        QueuedRequest w = new QueuedRequest(number, urgency, a.getTeam(), Math.max(1, a.getCost()), deadline);
        if (!a.getService().equals(service)) {
            perform(new GateAction.EndAttempt(number, new Verdict.NotRun(Reason.UNKNOWN_SERVICE, Duration.ZERO), 0));
            return;
        }
        step(new GateEvent.AttemptArrived(new GateRequest(w, a.getRepeatable(), hash, a.getDeadlineEpochMs())));
    }

    private void linkChanged(Link link, boolean up) {
        if (up) {
            links.put(link.id(), link);
            sendReport(link, gate.report());
            return;
        }
        links.remove(link.id());
        sequences.remove(link.id());
        List<Long> orphans = open.entrySet().stream()
                .filter(e -> e.getValue().link().id() == link.id())
                .map(Map.Entry::getKey)
                .toList();
        orphans.forEach(n -> step(new GateEvent.AttemptCancelled(n)));
    }

    private void step(GateEvent event) {
        gate.handle(event, clock.nanos(), clock.epochMillis()).forEach(this::perform);
    }

    private void perform(GateAction action) {
        switch (action) {
            case GateAction.StartCall s -> startCall(s);
            case GateAction.AbortCall a ->
                Optional.ofNullable(open.get(a.id()))
                        .map(o -> calls.get(o.key()))
                        .ifPresent(UpstreamCall::abort);
            case GateAction.EndAttempt e -> end(e.id(), e.verdict(), e.length());
            case GateAction.ReplayAnswer r -> replay(r);
            case GateAction.CallClaimStore c -> claimCall(c.call());
            case GateAction.ReportDrained d -> drained.countDown();
        }
    }

    private void startCall(GateAction.StartCall s) {
        Open o = open.get(s.id());
        boolean keep =
                !o.attempt().getRepeatable() && !o.attempt().getIdempotencyKey().isEmpty();
        UpstreamCall call = new UpstreamCall(o.attempt().getWindow(), keep, new Forwarder(s.id(), o));
        calls.put(o.key(), call);
        call.send(
                target.request(o.attempt()),
                () -> clock.nanos() < s.latestNanos() && clock.epochMillis() < s.latestEpochMillis());
    }

    private void claimCall(ClaimAction call) {
        switch (call) {
            case ClaimAction.ReadBucket r -> {
                metrics.storeCall("read");
                claims.read(r).thenAccept(e -> duty.put(new SidecarEvent.ForGate(new GateEvent.ClaimReplyReceived(e))));
            }
            case ClaimAction.WriteBucket w -> {
                metrics.storeCall("write");
                claims.write(w)
                        .thenAccept(e -> duty.put(new SidecarEvent.ForGate(new GateEvent.ClaimReplyReceived(e))));
            }
            default -> throw new IllegalStateException("not a call to the store: " + call);
        }
    }

    private void replay(GateAction.ReplayAnswer r) {
        Open o = open.get(r.id());
        StoredResponse a = r.answer();
        Forwarder f = new Forwarder(r.id(), o);
        f.head(a.status(), a.contentType());
        if (a.body().length > 0) {
            f.chunk(0, a.body());
        }
        end(r.id(), new Verdict.Completed(a.status()), a.body().length);
    }

    private void end(long number, Verdict verdict, long length) {
        Open o = open.remove(number);
        if (o == null) {
            return;
        }
        numbers.remove(o.key());
        calls.remove(o.key());
        SidecarReport r = gate.report();
        AnswerEnd.Builder e =
                VerdictCodec.encode(o.attempt().getId(), verdict, length).setLoad(encode(r));
        o.link().send(Frame.newBuilder().setAnswerEnd(e).build());
        metrics.ended(
                o.attempt().getTeam(),
                Urgency.ofOrdinal(o.attempt().getUrgency()),
                verdict,
                Duration.ofNanos(clock.nanos() - o.arrivedNanos()));
        if (!(verdict instanceof Verdict.Completed) && logBudget.tryAcquire(clock.nanos())) {
            LOG.info("attempt-ended")
                    .with("request", o.attempt().getRequestId())
                    .with("team", o.attempt().getTeam())
                    .with("verdict", verdict)
                    .with("suppressed", logBudget.getAndResetSuppressed())
                    .write();
        }
    }

    /** Reports go out on change; load changes wait for the gap, readiness never does. */
    private void reportChanges(long nowNanos) {
        SidecarReport r = gate.report();
        boolean urgent = r.isAccepting() != lastReport.isAccepting();
        if (r.equals(lastReport) || (!urgent && nowNanos - lastReportNanos < REPORT_GAP_NANOS)) {
            return;
        }
        lastReport = r;
        lastReportNanos = nowNanos;
        metrics.state(r);
        links.values().forEach(l -> sendReport(l, r));
    }

    private static void sendReport(Link link, SidecarReport r) {
        link.send(Frame.newBuilder().setStatus(encode(r)).build());
    }

    private static StatusReport encode(SidecarReport r) {
        return StatusReport.newBuilder()
                .setAccepting(r.isAccepting())
                .setRunning(r.running())
                .setWaiting(r.waiting())
                .setWaitMs(r.waitMillis())
                .setSlots(r.slots())
                .setLiveAhead(r.liveAhead())
                .build();
    }

    /** Names an attempt by its link and the entry's number. */
    private record AttemptKey(long link, long attempt) {}

    /** An attempt without a final answer. */
    private record Open(AttemptKey key, Link link, Attempt attempt, long arrivedNanos) {}

    /** Passes an upstream's answer on to the entry. */
    private final class Forwarder implements UpstreamCall.AnswerListener {
        private final long number;
        private final Open o;

        private Forwarder(long number, Open o) {
            this.number = number;
            this.o = o;
        }

        @Override
        public void head(int status, String contentType) {
            o.link()
                    .send(Frame.newBuilder()
                            .setAnswerHead(AnswerHead.newBuilder()
                                    .setId(o.attempt().getId())
                                    .setStatus(status)
                                    .setContentType(contentType))
                            .build());
        }

        @Override
        public void chunk(long offset, byte[] data) {
            o.link()
                    .send(Frame.newBuilder()
                            .setAnswerChunk(AnswerChunk.newBuilder()
                                    .setId(o.attempt().getId())
                                    .setOffset(offset)
                                    .setData(UnsafeByteOperations.unsafeWrap(data)))
                            .build());
        }

        @Override
        public void ended(CallOutcome outcome) {
            duty.put(new SidecarEvent.ForGate(new GateEvent.CallEnded(number, outcome)));
        }
    }

    private final class GateHandler implements EventLoop.Handler<SidecarEvent> {
        @Override
        public void handle(SidecarEvent event) {
            switch (event) {
                case SidecarEvent.AttemptReceived a -> arrived(a.link(), a.attempt(), clock.nanos());
                case SidecarEvent.CancelReceived c ->
                    Optional.ofNullable(numbers.get(new AttemptKey(c.link(), c.attempt())))
                            .ifPresent(n -> step(new GateEvent.AttemptCancelled(n)));
                case SidecarEvent.LinkChanged l -> linkChanged(l.link(), l.up());
                case SidecarEvent.ForGate g -> step(g.event());
            }
        }

        @Override
        public void runDueTasks() {
            long now = clock.nanos();
            if (now >= Math.min(nextTickNanos, gate.nextDeadlineNanos())) {
                step(new GateEvent.Tick());
                nextTickNanos = now + TICK_NANOS;
            }
            reportChanges(now);
        }

        @Override
        public long nanosToNextTask() {
            boolean reported = gate.report().equals(lastReport);
            long nextReport = reported ? Long.MAX_VALUE : lastReportNanos + REPORT_GAP_NANOS;
            long next = Math.min(nextReport, Math.min(nextTickNanos, gate.nextDeadlineNanos()));
            return Math.max(0, next - clock.nanos());
        }
    }
}
