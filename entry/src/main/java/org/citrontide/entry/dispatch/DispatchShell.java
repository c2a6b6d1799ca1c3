package org.citrontide.entry.dispatch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.dispatch.DispatchAction;
import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.dispatch.DispatchRequest;
import org.citrontide.core.dispatch.Dispatcher;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.entry.filter.RequestContext;
import org.citrontide.entry.http.CallerExchange;
import org.citrontide.entry.http.EntryHandler;
import org.citrontide.runtime.duty.Clock;
import org.citrontide.runtime.duty.EventLoop;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;
import org.citrontide.store.links.ProcessLinkListener;
import org.citrontide.wire.codec.VerdictCodec;
import org.citrontide.wire.generated.AnswerEnd;
import org.citrontide.wire.generated.Attempt;
import org.citrontide.wire.generated.Cancel;
import org.citrontide.wire.generated.Credit;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.StatusReport;
import org.citrontide.wire.link.Link;
import org.citrontide.wire.link.LinkEndpoint;

/**
 * Runs the dispatcher on a thread of its own, and joins it to the links and to the callers.
 *
 * <p>Invariant: the dispatcher and the maps of links are touched by the dispatch thread alone. Safe for use by many
 * threads.
 */
public final class DispatchShell
        implements EntryHandler.ExchangeSink, ProcessLinkListener.RoleLinkListener, AutoCloseable {
    private static final EventLog LOG = EventLog.of(DispatchShell.class);
    private static final int RING = 16_384;
    private static final int LOG_LINES_PER_SECOND = 50;
    private static final int WINDOW_BYTES = 256 * 1024;
    private static final Duration RING_FULL_RETRY_AFTER = Duration.ofSeconds(1);
    private static final long IDLE_WAKE_NANOS = Duration.ofSeconds(1).toNanos();

    private final int maxOpenRequests;
    private final Clock clock;
    private final Dispatcher dispatcher;
    private final EntryMetrics metrics;
    private final EventLoop<DispatchEvent> duty;
    private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();
    private final Map<UpstreamId, LinkEndpoint.OutboundLink> dialled = new HashMap<>();
    private final Map<UpstreamId, Link> links = new ConcurrentHashMap<>();
    private final Map<UpstreamId, SidecarReport> reports = new ConcurrentHashMap<>();
    private final LogRateLimiter logBudget = new LogRateLimiter(LOG_LINES_PER_SECOND);
    private final AtomicLong nextRequest = new AtomicLong(1);
    private Function<InetSocketAddress, LinkEndpoint.OutboundLink> dial = a -> {
        throw new IllegalStateException("not started");
    };
    private volatile int openRequests;
    private volatile long version;

    /**
     * Prepares the shell; {@link #start} starts it.
     *
     * @param zone the entry's availability zone
     * @param subset chooses the upstreams that the entry keeps links to
     * @param maxOpenRequests most requests without a final answer; more are refused at once
     * @param random source of routing choices
     * @param clock source of time
     * @param metrics the entry's metrics
     */
    public DispatchShell(
            String zone,
            UpstreamSubset subset,
            int maxOpenRequests,
            RandomGenerator random,
            Clock clock,
            EntryMetrics metrics) {
        this.maxOpenRequests = maxOpenRequests;
        this.clock = clock;
        this.metrics = metrics;
        this.dispatcher = new Dispatcher(zone, subset, random);
        this.duty = new EventLoop<>("dispatch", RING, new DispatchHandler());
    }

    /**
     * Starts the thread.
     *
     * @param dialler keeps a link to an address
     */
    public void start(Function<InetSocketAddress, LinkEndpoint.OutboundLink> dialler) {
        dial = dialler;
        duty.start();
    }

    /**
     * Hands over what this entry learned of upstreams or configurations.
     *
     * @param event the event
     */
    public void learn(DispatchEvent event) {
        duty.put(event);
    }

    /**
     * Returns the requests without a final answer.
     *
     * @return count
     */
    public int openRequests() {
        return Math.max(openRequests, exchanges.size());
    }

    @Override
    public void accept(CallerExchange exchange) {
        long id = nextRequest.getAndIncrement();
        exchanges.put(id, exchange);
        exchange.onCallerGone(() -> callerGone(id));
        boolean taken = exchanges.size() <= maxOpenRequests
                && duty.offer(new DispatchEvent.RequestArrived(facts(id, exchange.context())));
        if (!taken) {
            Verdict full = new Verdict.NotRun(Reason.RING_FULL, RING_FULL_RETRY_AFTER);
            finish(id, full).ifPresent(e -> e.refuse(full, "this entry is overloaded"));
        }
    }

    @Override
    public void refused(CallerExchange exchange, Verdict verdict) {
        record(exchange, verdict);
    }

    @Override
    public void linkUp(Link link) {
        if (link.isOutbound()) {
            UpstreamId id = id(link);
            links.put(id, link);
            duty.put(new DispatchEvent.LinkUp(id));
        }
    }

    @Override
    public void linkDown(Link link) {
        if (link.isOutbound()) {
            UpstreamId id = id(link);
            links.remove(id, link);
            reports.remove(id);
            duty.put(new DispatchEvent.LinkDown(id));
        }
    }

    @Override
    public void frameReceived(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case STATUS -> report(id(link), frame.getStatus());
            case ANSWER_HEAD ->
                duty.put(new DispatchEvent.AnswerHead(
                        frame.getAnswerHead().getId(),
                        frame.getAnswerHead().getStatus(),
                        frame.getAnswerHead().getContentType()));
            case ANSWER_CHUNK ->
                duty.put(new DispatchEvent.AnswerChunk(
                        frame.getAnswerChunk().getId(),
                        frame.getAnswerChunk().getOffset(),
                        frame.getAnswerChunk().getData().toByteArray()));
            case ANSWER_END -> ended(id(link), frame.getAnswerEnd());
            default ->
                LOG.warn("frame-unexpected")
                        .with("kind", frame.getBodyCase())
                        .with("peer", link.peer().getVm())
                        .write();
        }
    }

    @Override
    public void close() {
        duty.close();
    }

    private void callerGone(long id) {
        finish(id, new Verdict.MayHaveRun(Reason.CANCELLED))
                .ifPresent(e -> duty.put(new DispatchEvent.CallerDisconnected(id)));
    }

    private void report(UpstreamId id, StatusReport s) {
        SidecarReport r = new SidecarReport(
                s.getAccepting(), s.getRunning(), s.getWaiting(), s.getWaitMs(), s.getSlots(), s.getLiveAhead());
        reports.put(id, r);
        duty.put(new DispatchEvent.ReportReceived(id, r));
    }

    private void ended(UpstreamId id, AnswerEnd end) {
        duty.put(new DispatchEvent.AttemptEnded(end.getId(), VerdictCodec.decode(end, 0), end.getLength()));
        if (end.hasLoad()) {
            report(id, end.getLoad());
        }
    }

    private static UpstreamId id(Link link) {
        return new UpstreamId(
                link.remoteAddress().getAddress().getHostAddress(),
                link.remoteAddress().getPort());
    }

    private static DispatchRequest facts(long id, RequestContext c) {
        ServiceFile file = c.service().orElseThrow();
        Optional<Integer> bucket = c.idempotencyKey()
                .filter(k -> !c.repeatable())
                .map(k -> KeyHash.of(file.service(), c.team(), k).bucket());
        return new DispatchRequest(
                id, file.service(), c.team(), c.urgency(), c.cost(), c.repeatable(), bucket, c.deadlineNanos());
    }

    private void perform(DispatchAction action) {
        switch (action) {
            case DispatchAction.SendAttempt s -> send(s);
            case DispatchAction.CancelAttempt c -> cancel(c);
            case DispatchAction.GrantCredit c -> credit(c.attempt(), c.upstream(), c.bytes());
            case DispatchAction.SendAnswer a ->
                finish(a.request(), new Verdict.Completed(a.status()))
                        .ifPresent(e -> e.answer(a.status(), a.contentType(), a.body()));
            case DispatchAction.BeginStream b ->
                find(b.request()).ifPresent(e -> e.beginStream(b.status(), b.contentType()));
            case DispatchAction.SendEvents s ->
                find(s.request())
                        .ifPresent(e -> e.stream(s.data(), () -> credit(s.attempt(), s.upstream(), s.credit())));
            case DispatchAction.EndStream s ->
                finish(s.request(), s.verdict()).ifPresent(e -> e.endStream(s.verdict()));
            case DispatchAction.RefuseRequest r ->
                finish(r.request(), r.verdict()).ifPresent(e -> e.refuse(r.verdict(), "see the title for the reason"));
            case DispatchAction.OpenLink d -> dial(d.upstream());
            case DispatchAction.CloseLink d ->
                Optional.ofNullable(dialled.remove(d.upstream())).ifPresent(LinkEndpoint.OutboundLink::close);
        }
    }

    private void dial(UpstreamId id) {
        dialled.computeIfAbsent(id, i -> dial.apply(new InetSocketAddress(i.host(), i.port())));
        if (links.containsKey(id)) {
            step(new DispatchEvent.LinkUp(id));
            Optional.ofNullable(reports.get(id)).ifPresent(r -> step(new DispatchEvent.ReportReceived(id, r)));
        }
    }

    private void send(DispatchAction.SendAttempt s) {
        Link link = links.get(s.upstream());
        Optional<CallerExchange> exchange = find(s.request());
        if (link == null || exchange.isEmpty()) {
            duty.put(new DispatchEvent.SendFailed(s.attempt()));
            return;
        }
        RequestContext c = exchange.get().context();
        Attempt.Builder a = Attempt.newBuilder()
                .setId(s.attempt())
                .setRequestId(exchange.get().requestId())
                .setMethod(c.method())
                .setPath(c.upstreamPath())
                .setContentType(c.headers().contentType().orElse(""))
                .setBody(body(c))
                .setService(c.service().orElseThrow().service())
                .setTeam(c.team())
                .setUrgency(c.urgency().ordinal())
                .setCost(c.cost())
                .setRemainingMs(s.remaining().toMillis())
                .setDeadlineEpochMs(clock.epochMillis() + s.remaining().toMillis())
                .setRepeatable(c.repeatable())
                .setIdempotencyKey(c.idempotencyKey().orElse(""))
                .setResumeAfterEvents(s.resumeAfterEvents())
                .setWindow(WINDOW_BYTES);
        link.send(Frame.newBuilder().setAttempt(a).build(), sent -> {
            if (!sent) {
                duty.put(new DispatchEvent.SendFailed(s.attempt()));
            }
        });
    }

    private static ByteString body(RequestContext c) {
        return UnsafeByteOperations.unsafeWrap(c.body());
    }

    private void cancel(DispatchAction.CancelAttempt c) {
        Optional.ofNullable(links.get(c.upstream()))
                .ifPresent(l -> l.send(Frame.newBuilder()
                        .setCancel(Cancel.newBuilder().setId(c.attempt()))
                        .build()));
    }

    private void credit(long attempt, UpstreamId upstream, int bytes) {
        Optional.ofNullable(links.get(upstream))
                .ifPresent(l -> l.send(Frame.newBuilder()
                        .setCredit(Credit.newBuilder().setId(attempt).setBytes(bytes))
                        .build()));
    }

    private Optional<CallerExchange> find(long request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    private Optional<CallerExchange> finish(long request, Verdict verdict) {
        Optional<CallerExchange> e = Optional.ofNullable(exchanges.remove(request));
        e.ifPresent(x -> record(x, verdict));
        return e;
    }

    private void record(CallerExchange e, Verdict verdict) {
        RequestContext c = e.context();
        Duration time = Duration.ofNanos(clock.nanos() - c.arrivedNanos());
        String service = c.service().map(ServiceFile::service).orElse("none");
        metrics.ended(service, c.team(), c.urgency(), verdict, time);
        if (verdict instanceof Verdict.Completed || !logBudget.tryAcquire(clock.nanos())) {
            return;
        }
        LOG.info("request-ended")
                .with("request", e.requestId())
                .with("service", service)
                .with("team", c.team())
                .with("urgency", c.urgency().externalName())
                .with("verdict", verdict.headerValue())
                .with("reason", EntryMetrics.reason(verdict))
                .with("ms", time.toMillis())
                .with("suppressed", logBudget.getAndResetSuppressed())
                .write();
    }

    private void step(DispatchEvent event) {
        dispatcher.handle(event, clock.nanos()).forEach(this::perform);
    }

    private final class DispatchHandler implements EventLoop.Handler<DispatchEvent> {
        @Override
        public void handle(DispatchEvent event) {
            if (event instanceof DispatchEvent.ConfigurationChanged c) {
                version = c.configuration().version();
            }
            step(event);
        }

        @Override
        public void runDueTasks() {
            step(new DispatchEvent.Tick());
            openRequests = dispatcher.openRequests();
            metrics.state(openRequests, dispatcher.retries(), dispatcher.droppedFrames(), version);
        }

        @Override
        public long nanosToNextTask() {
            long now = clock.nanos();
            return dispatcher.nextDeadlineNanos().map(d -> d - now).orElse(IDLE_WAKE_NANOS);
        }
    }
}
