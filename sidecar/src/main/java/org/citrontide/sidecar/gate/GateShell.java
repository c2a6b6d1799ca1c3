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
import org.citrontide.runtime.eventloop.Clock;
import org.citrontide.runtime.eventloop.EventLoop;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;
import org.citrontide.sidecar.upstream.UpstreamCall;
import org.citrontide.store.links.ProcessLinkListener;
import org.citrontide.wire.codec.VerdictCodec;
import org.citrontide.wire.generated.AnswerChunk;
import org.citrontide.wire.generated.AnswerEnd;
import org.citrontide.wire.generated.AnswerHead;
import org.citrontide.wire.generated.Attempt;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.StatusReport;
import org.citrontide.wire.link.Link;

/**
 * Shell of the {@link SidecarGate}: runs it on the gate thread, turns frames and results of calls into its events, and
 * performs its actions on links, the upstream and the platform's store.
 *
 * <p>Invariant: only the gate thread accesses the gate and the open attempts. Thread-safe.
 */
public final class GateShell implements ProcessLinkListener.RoleLinkListener, AutoCloseable {
    private static final EventLog LOG = EventLog.of(GateShell.class);
    private static final int QUEUE_CAPACITY = 16_384;
    private static final int LOG_LINES_PER_SECOND = 50;
    private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MIN_REPORT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofSeconds(1);

    private final String service;
    private final UpstreamRequestFactory requestFactory;
    private final ClaimStore claims;
    private final Clock clock;
    private final SidecarMetrics metrics;
    private final SidecarGate gate;
    private final EventLoop<SidecarEvent> eventLoop;
    private final Map<Long, OpenAttempt> openAttempts = new HashMap<>();
    private final Map<AttemptKey, Long> attemptNumbers = new HashMap<>();
    private final Map<AttemptKey, UpstreamCall> calls = new ConcurrentHashMap<>();
    private final Map<Long, Link> links = new HashMap<>();
    private final Map<Long, AttemptSequence> attemptSequences = new HashMap<>();
    private final LogRateLimiter logRateLimiter = new LogRateLimiter(LOG_LINES_PER_SECOND);
    private final CountDownLatch drained = new CountDownLatch(1);
    private SidecarReport lastReport = new SidecarReport(false, 0, 0, 0, 0, 0);
    private long lastReportNanos;
    private long nextTickNanos;
    private long nextAttemptNumber = 1;

    /**
     * Creates the shell; {@link #start()} starts its thread.
     *
     * @param service name of the service behind this sidecar
     * @param incarnation random number drawn at the start of this process
     * @param requestFactory factory of the requests to the upstream
     * @param claims store of the claims of the service
     * @param clock clock of the process
     * @param metrics metrics of the sidecar
     */
    public GateShell(
            String service,
            long incarnation,
            UpstreamRequestFactory requestFactory,
            ClaimStore claims,
            Clock clock,
            SidecarMetrics metrics) {
        this.service = service;
        this.requestFactory = requestFactory;
        this.claims = claims;
        this.clock = clock;
        this.metrics = metrics;
        this.gate = new SidecarGate(incarnation);
        this.eventLoop = new EventLoop<>("gate", QUEUE_CAPACITY, new GateHandler());
    }

    /** Starts the gate thread. */
    public void start() {
        eventLoop.start();
    }

    /**
     * Queues a new configuration for the gate. Ignores it if it does not contain the service.
     *
     * @param c the configuration that took effect
     */
    public void changeConfiguration(Configuration c) {
        Optional.ofNullable(c.services().get(service))
                .ifPresent(f -> eventLoop.put(new SidecarEvent.GateEventRaised(new GateEvent.ConfigurationChanged(f))));
    }

    /**
     * Refuses new attempts and waits until no attempt holds a slot any more.
     *
     * @param limit maximum time to wait
     * @return false if the drain was not complete within the limit
     */
    public boolean drain(Duration limit) {
        eventLoop.put(new SidecarEvent.GateEventRaised(new GateEvent.DrainRequested()));
        try {
            return drained.await(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void linkUp(Link link) {
        eventLoop.put(new SidecarEvent.LinkChanged(link, true));
    }

    @Override
    public void linkDown(Link link) {
        eventLoop.put(new SidecarEvent.LinkChanged(link, false));
    }

    @Override
    public void frameReceived(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case ATTEMPT -> enqueueAttempt(link, frame.getAttempt());
            case CANCEL ->
                eventLoop.put(new SidecarEvent.CancelReceived(
                        link.id(), frame.getCancel().getId()));
            case CREDIT ->
                Optional.ofNullable(calls.get(
                                new AttemptKey(link.id(), frame.getCredit().getId())))
                        .ifPresent(c -> c.grantCredit(frame.getCredit().getBytes()));
            default ->
                LOG.debug("frame-unexpected").with("kind", frame.getBodyCase()).write();
        }
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void enqueueAttempt(Link link, Attempt a) {
        if (!eventLoop.offer(new SidecarEvent.AttemptReceived(link, a))) {
            Verdict v = new Verdict.NotRun(Reason.RING_FULL, QUEUE_FULL_RETRY_AFTER);
            link.send(Frame.newBuilder()
                    .setAnswerEnd(VerdictCodec.encode(a.getId(), v, 0))
                    .build());
        }
    }

    private void handleAttempt(Link link, Attempt a, long nowNanos) {
        AttemptSequence sequence = attemptSequences.computeIfAbsent(link.id(), l -> new AttemptSequence());
        if (!sequence.accept(a.getId())) {
            LOG.warn("attempt-id-reused").with("request", a.getRequestId()).write();
            return;
        }
        long number = nextAttemptNumber++;
        AttemptKey key = new AttemptKey(link.id(), a.getId());
        openAttempts.put(number, new OpenAttempt(key, link, a, nowNanos));
        attemptNumbers.put(key, number);
        Urgency urgency = Urgency.ofOrdinal(a.getUrgency());
        long deadline = nowNanos + Duration.ofMillis(a.getRemainingMs()).toNanos();
        Optional<KeyHash> hash = a.getIdempotencyKey().isEmpty()
                ? Optional.empty()
                : Optional.of(KeyHash.of(service, a.getTeam(), a.getIdempotencyKey()));
        QueuedRequest queuedRequest =
                new QueuedRequest(number, urgency, a.getTeam(), Math.max(1, a.getCost()), deadline);
        if (!a.getService().equals(service)) {
            perform(new GateAction.EndAttempt(number, new Verdict.NotRun(Reason.UNKNOWN_SERVICE, Duration.ZERO), 0));
            return;
        }
        handleEvent(new GateEvent.AttemptArrived(
                new GateRequest(queuedRequest, a.getRepeatable(), hash, a.getDeadlineEpochMs())));
    }

    private void handleLinkChange(Link link, boolean isUp) {
        if (isUp) {
            links.put(link.id(), link);
            sendReport(link, gate.report());
            return;
        }
        links.remove(link.id());
        attemptSequences.remove(link.id());
        List<Long> orphanedAttempts = openAttempts.entrySet().stream()
                .filter(e -> e.getValue().link().id() == link.id())
                .map(Map.Entry::getKey)
                .toList();
        orphanedAttempts.forEach(n -> handleEvent(new GateEvent.AttemptCancelled(n)));
    }

    private void handleEvent(GateEvent event) {
        gate.handle(event, clock.nanos(), clock.epochMillis()).forEach(this::perform);
    }

    private void perform(GateAction action) {
        switch (action) {
            case GateAction.StartCall s -> startCall(s);
            case GateAction.AbortCall a ->
                Optional.ofNullable(openAttempts.get(a.id()))
                        .map(openAttempt -> calls.get(openAttempt.key()))
                        .ifPresent(UpstreamCall::abort);
            case GateAction.EndAttempt e -> endAttempt(e.id(), e.verdict(), e.length());
            case GateAction.ReplayAnswer r -> replayAnswer(r);
            case GateAction.CallClaimStore c -> callClaimStore(c.call());
            case GateAction.ReportDrained d -> drained.countDown();
        }
    }

    private void startCall(GateAction.StartCall s) {
        OpenAttempt openAttempt = openAttempts.get(s.id());
        boolean isAnswerRetained = !openAttempt.attempt().getRepeatable()
                && !openAttempt.attempt().getIdempotencyKey().isEmpty();
        UpstreamCall call = new UpstreamCall(
                openAttempt.attempt().getWindow(), isAnswerRetained, new AnswerForwarder(s.id(), openAttempt));
        calls.put(openAttempt.key(), call);
        call.send(
                requestFactory.createRequest(openAttempt.attempt()),
                () -> clock.nanos() < s.latestNanos() && clock.epochMillis() < s.latestEpochMillis());
    }

    private void callClaimStore(ClaimAction call) {
        switch (call) {
            case ClaimAction.ReadBucket r -> {
                metrics.countStoreCall("read");
                claims.read(r)
                        .thenAccept(e ->
                                eventLoop.put(new SidecarEvent.GateEventRaised(new GateEvent.ClaimReplyReceived(e))));
            }
            case ClaimAction.WriteBucket w -> {
                metrics.countStoreCall("write");
                claims.write(w)
                        .thenAccept(e ->
                                eventLoop.put(new SidecarEvent.GateEventRaised(new GateEvent.ClaimReplyReceived(e))));
            }
            default -> throw new IllegalStateException("not a call to the claim store: " + call);
        }
    }

    private void replayAnswer(GateAction.ReplayAnswer r) {
        OpenAttempt openAttempt = openAttempts.get(r.id());
        StoredResponse a = r.answer();
        AnswerForwarder f = new AnswerForwarder(r.id(), openAttempt);
        f.headReceived(a.status(), a.contentType());
        if (a.body().length > 0) {
            f.chunkReceived(0, a.body());
        }
        endAttempt(r.id(), new Verdict.Completed(a.status()), a.body().length);
    }

    private void endAttempt(long number, Verdict verdict, long length) {
        OpenAttempt openAttempt = openAttempts.remove(number);
        if (openAttempt == null) {
            return;
        }
        attemptNumbers.remove(openAttempt.key());
        calls.remove(openAttempt.key());
        SidecarReport r = gate.report();
        AnswerEnd.Builder e = VerdictCodec.encode(openAttempt.attempt().getId(), verdict, length)
                .setLoad(encode(r));
        openAttempt.link().send(Frame.newBuilder().setAnswerEnd(e).build());
        metrics.recordAttempt(
                openAttempt.attempt().getTeam(),
                Urgency.ofOrdinal(openAttempt.attempt().getUrgency()),
                verdict,
                Duration.ofNanos(clock.nanos() - openAttempt.arrivedNanos()));
        if (!(verdict instanceof Verdict.Completed) && logRateLimiter.tryAcquire(clock.nanos())) {
            LOG.info("attempt-ended")
                    .with("request", openAttempt.attempt().getRequestId())
                    .with("team", openAttempt.attempt().getTeam())
                    .with("verdict", verdict)
                    .with("suppressed", logRateLimiter.getAndResetSuppressed())
                    .write();
        }
    }

    /**
     * Sends the report if it has changed: immediately if the gate starts or stops accepting attempts, otherwise at most
     * once per minimum report interval.
     */
    private void sendReportIfChanged(long nowNanos) {
        SidecarReport r = gate.report();
        boolean isAcceptingChanged = r.isAccepting() != lastReport.isAccepting();
        if (r.equals(lastReport) || (!isAcceptingChanged && nowNanos - lastReportNanos < MIN_REPORT_INTERVAL_NANOS)) {
            return;
        }
        lastReport = r;
        lastReportNanos = nowNanos;
        metrics.updateGauges(r);
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

    /** Identifies an attempt by its link and the number that the entry gave it. */
    private record AttemptKey(long link, long attempt) {}

    /** An attempt without a final answer. */
    private record OpenAttempt(AttemptKey key, Link link, Attempt attempt, long arrivedNanos) {}

    /** Forwards the answer of the upstream to the entry. */
    private final class AnswerForwarder implements UpstreamCall.AnswerListener {
        private final long number;
        private final OpenAttempt openAttempt;

        private AnswerForwarder(long number, OpenAttempt openAttempt) {
            this.number = number;
            this.openAttempt = openAttempt;
        }

        @Override
        public void headReceived(int status, String contentType) {
            openAttempt
                    .link()
                    .send(Frame.newBuilder()
                            .setAnswerHead(AnswerHead.newBuilder()
                                    .setId(openAttempt.attempt().getId())
                                    .setStatus(status)
                                    .setContentType(contentType))
                            .build());
        }

        @Override
        public void chunkReceived(long offset, byte[] data) {
            openAttempt
                    .link()
                    .send(Frame.newBuilder()
                            .setAnswerChunk(AnswerChunk.newBuilder()
                                    .setId(openAttempt.attempt().getId())
                                    .setOffset(offset)
                                    .setData(UnsafeByteOperations.unsafeWrap(data)))
                            .build());
        }

        @Override
        public void callEnded(CallOutcome outcome) {
            eventLoop.put(new SidecarEvent.GateEventRaised(new GateEvent.CallEnded(number, outcome)));
        }
    }

    private final class GateHandler implements EventLoop.Handler<SidecarEvent> {
        @Override
        public void handle(SidecarEvent event) {
            switch (event) {
                case SidecarEvent.AttemptReceived a -> handleAttempt(a.link(), a.attempt(), clock.nanos());
                case SidecarEvent.CancelReceived c ->
                    Optional.ofNullable(attemptNumbers.get(new AttemptKey(c.link(), c.attempt())))
                            .ifPresent(n -> handleEvent(new GateEvent.AttemptCancelled(n)));
                case SidecarEvent.LinkChanged l -> handleLinkChange(l.link(), l.isUp());
                case SidecarEvent.GateEventRaised g -> handleEvent(g.event());
            }
        }

        @Override
        public void runDueTasks() {
            long now = clock.nanos();
            if (now >= Math.min(nextTickNanos, gate.nextDeadlineNanos())) {
                handleEvent(new GateEvent.Tick());
                nextTickNanos = now + TICK_INTERVAL_NANOS;
            }
            sendReportIfChanged(now);
        }

        @Override
        public long nanosToNextTask() {
            boolean isReported = gate.report().equals(lastReport);
            long nextReport = isReported ? Long.MAX_VALUE : lastReportNanos + MIN_REPORT_INTERVAL_NANOS;
            long next = Math.min(nextReport, Math.min(nextTickNanos, gate.nextDeadlineNanos()));
            return Math.max(0, next - clock.nanos());
        }
    }
}
