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
import org.citrontide.runtime.eventloop.Clock;
import org.citrontide.runtime.eventloop.EventLoop;
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
 * Shell of the {@link Dispatcher}: runs it on the dispatch thread, turns requests and frames into events, and performs
 * the resulting actions on links and caller exchanges.
 *
 * <p>Invariant: only the dispatch thread accesses the dispatcher and the map of dialled links. Thread-safe.
 */
public final class DispatchShell
        implements EntryHandler.ExchangeSink, ProcessLinkListener.RoleLinkListener, AutoCloseable {
    private static final EventLog LOG = EventLog.of(DispatchShell.class);
    private static final int QUEUE_CAPACITY = 16_384;
    private static final int LOG_LINES_PER_SECOND = 50;
    private static final int INITIAL_CREDIT_BYTES = 256 * 1024;
    private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofSeconds(1);
    private static final long IDLE_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

    private final int maxOpenRequests;
    private final Clock clock;
    private final Dispatcher dispatcher;
    private final EntryMetrics metrics;
    private final EventLoop<DispatchEvent> eventLoop;
    private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();
    private final Map<UpstreamId, LinkEndpoint.OutboundLink> dialledLinks = new HashMap<>();
    private final Map<UpstreamId, Link> links = new ConcurrentHashMap<>();
    private final Map<UpstreamId, SidecarReport> reports = new ConcurrentHashMap<>();
    private final LogRateLimiter logRateLimiter = new LogRateLimiter(LOG_LINES_PER_SECOND);
    private final AtomicLong nextRequestNumber = new AtomicLong(1);
    private Function<InetSocketAddress, LinkEndpoint.OutboundLink> linkDialler = a -> {
        throw new IllegalStateException("not started");
    };
    private volatile int openRequests;
    private volatile long configurationVersion;

    /**
     * Creates the shell; {@link #start} starts its thread.
     *
     * @param zone availability zone of the entry
     * @param subset selection of the upstreams to which the entry keeps links
     * @param maxOpenRequests maximum number of requests without a final answer; further ones are refused immediately
     * @param random source of random routing choices
     * @param clock clock of the process
     * @param metrics metrics of the entry
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
        this.eventLoop = new EventLoop<>("dispatch", QUEUE_CAPACITY, new DispatchHandler());
    }

    /**
     * Starts the dispatch thread.
     *
     * @param dialler function that opens a link to an address and keeps it open
     */
    public void start(Function<InetSocketAddress, LinkEndpoint.OutboundLink> dialler) {
        linkDialler = dialler;
        eventLoop.start();
    }

    /**
     * Queues an event about upstreams or configurations. Blocks while the queue is full.
     *
     * @param event the event to handle on the dispatch thread
     */
    public void submit(DispatchEvent event) {
        eventLoop.put(event);
    }

    /**
     * Returns the number of requests without a final answer.
     *
     * @return number of open requests
     */
    public int openRequests() {
        return Math.max(openRequests, exchanges.size());
    }

    @Override
    public void accept(CallerExchange exchange) {
        long id = nextRequestNumber.getAndIncrement();
        exchanges.put(id, exchange);
        exchange.onDisconnect(() -> handleDisconnect(id));
        boolean isQueued = exchanges.size() <= maxOpenRequests
                && eventLoop.offer(new DispatchEvent.RequestArrived(toDispatchRequest(id, exchange.context())));
        if (!isQueued) {
            Verdict refusal = new Verdict.NotRun(Reason.RING_FULL, QUEUE_FULL_RETRY_AFTER);
            removeExchange(id, refusal).ifPresent(e -> e.sendRefusal(refusal, "this entry is overloaded"));
        }
    }

    @Override
    public void requestRefused(CallerExchange exchange, Verdict verdict) {
        record(exchange, verdict);
    }

    @Override
    public void linkUp(Link link) {
        if (link.isOutbound()) {
            UpstreamId id = upstreamId(link);
            links.put(id, link);
            eventLoop.put(new DispatchEvent.LinkUp(id));
        }
    }

    @Override
    public void linkDown(Link link) {
        if (link.isOutbound()) {
            UpstreamId id = upstreamId(link);
            links.remove(id, link);
            reports.remove(id);
            eventLoop.put(new DispatchEvent.LinkDown(id));
        }
    }

    @Override
    public void frameReceived(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case STATUS -> handleStatusReport(upstreamId(link), frame.getStatus());
            case ANSWER_HEAD ->
                eventLoop.put(new DispatchEvent.AnswerHead(
                        frame.getAnswerHead().getId(),
                        frame.getAnswerHead().getStatus(),
                        frame.getAnswerHead().getContentType()));
            case ANSWER_CHUNK ->
                eventLoop.put(new DispatchEvent.AnswerChunk(
                        frame.getAnswerChunk().getId(),
                        frame.getAnswerChunk().getOffset(),
                        frame.getAnswerChunk().getData().toByteArray()));
            case ANSWER_END -> handleAnswerEnd(upstreamId(link), frame.getAnswerEnd());
            default ->
                LOG.warn("frame-unexpected")
                        .with("kind", frame.getBodyCase())
                        .with("peer", link.peer().getVm())
                        .write();
        }
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void handleDisconnect(long id) {
        removeExchange(id, new Verdict.MayHaveRun(Reason.CANCELLED))
                .ifPresent(e -> eventLoop.put(new DispatchEvent.CallerDisconnected(id)));
    }

    private void handleStatusReport(UpstreamId id, StatusReport s) {
        SidecarReport r = new SidecarReport(
                s.getAccepting(), s.getRunning(), s.getWaiting(), s.getWaitMs(), s.getSlots(), s.getLiveAhead());
        reports.put(id, r);
        eventLoop.put(new DispatchEvent.ReportReceived(id, r));
    }

    private void handleAnswerEnd(UpstreamId id, AnswerEnd end) {
        eventLoop.put(new DispatchEvent.AttemptEnded(end.getId(), VerdictCodec.decode(end, 0), end.getLength()));
        if (end.hasLoad()) {
            handleStatusReport(id, end.getLoad());
        }
    }

    private static UpstreamId upstreamId(Link link) {
        return new UpstreamId(
                link.remoteAddress().getAddress().getHostAddress(),
                link.remoteAddress().getPort());
    }

    private static DispatchRequest toDispatchRequest(long id, RequestContext c) {
        ServiceFile file = c.service().orElseThrow();
        Optional<Integer> bucket = c.idempotencyKey()
                .filter(k -> !c.isRepeatable())
                .map(k -> KeyHash.of(file.service(), c.team(), k).bucket());
        return new DispatchRequest(
                id, file.service(), c.team(), c.urgency(), c.cost(), c.isRepeatable(), bucket, c.deadlineNanos());
    }

    private void perform(DispatchAction action) {
        switch (action) {
            case DispatchAction.SendAttempt s -> sendAttempt(s);
            case DispatchAction.CancelAttempt c -> sendCancel(c);
            case DispatchAction.GrantCredit c -> sendCredit(c.attempt(), c.upstream(), c.bytes());
            case DispatchAction.SendAnswer a ->
                removeExchange(a.request(), new Verdict.Completed(a.status()))
                        .ifPresent(e -> e.sendAnswer(a.status(), a.contentType(), a.body()));
            case DispatchAction.BeginStream b ->
                findExchange(b.request()).ifPresent(e -> e.beginStream(b.status(), b.contentType()));
            case DispatchAction.SendEvents s ->
                findExchange(s.request())
                        .ifPresent(e ->
                                e.sendStreamData(s.data(), () -> sendCredit(s.attempt(), s.upstream(), s.credit())));
            case DispatchAction.EndStream s ->
                removeExchange(s.request(), s.verdict()).ifPresent(e -> e.endStream(s.verdict()));
            case DispatchAction.RefuseRequest r ->
                removeExchange(r.request(), r.verdict())
                        .ifPresent(e -> e.sendRefusal(r.verdict(), "see the title for the reason"));
            case DispatchAction.OpenLink d -> openLink(d.upstream());
            case DispatchAction.CloseLink d ->
                Optional.ofNullable(dialledLinks.remove(d.upstream())).ifPresent(LinkEndpoint.OutboundLink::close);
        }
    }

    private void openLink(UpstreamId id) {
        dialledLinks.computeIfAbsent(id, i -> linkDialler.apply(new InetSocketAddress(i.host(), i.port())));
        if (links.containsKey(id)) {
            handleEvent(new DispatchEvent.LinkUp(id));
            Optional.ofNullable(reports.get(id)).ifPresent(r -> handleEvent(new DispatchEvent.ReportReceived(id, r)));
        }
    }

    private void sendAttempt(DispatchAction.SendAttempt s) {
        Link link = links.get(s.upstream());
        Optional<CallerExchange> exchange = findExchange(s.request());
        if (link == null || exchange.isEmpty()) {
            eventLoop.put(new DispatchEvent.SendFailed(s.attempt()));
            return;
        }
        RequestContext c = exchange.get().context();
        Attempt.Builder a = Attempt.newBuilder()
                .setId(s.attempt())
                .setRequestId(exchange.get().requestId())
                .setMethod(c.method())
                .setPath(c.upstreamPath())
                .setContentType(c.headers().contentType().orElse(""))
                .setBody(wrapBody(c))
                .setService(c.service().orElseThrow().service())
                .setTeam(c.team())
                .setUrgency(c.urgency().ordinal())
                .setCost(c.cost())
                .setRemainingMs(s.remaining().toMillis())
                .setDeadlineEpochMs(clock.epochMillis() + s.remaining().toMillis())
                .setRepeatable(c.isRepeatable())
                .setIdempotencyKey(c.idempotencyKey().orElse(""))
                .setResumeAfterEvents(s.resumeAfterEvents())
                .setWindow(INITIAL_CREDIT_BYTES);
        link.send(Frame.newBuilder().setAttempt(a).build(), sent -> {
            if (!sent) {
                eventLoop.put(new DispatchEvent.SendFailed(s.attempt()));
            }
        });
    }

    private static ByteString wrapBody(RequestContext c) {
        return UnsafeByteOperations.unsafeWrap(c.body());
    }

    private void sendCancel(DispatchAction.CancelAttempt c) {
        Optional.ofNullable(links.get(c.upstream()))
                .ifPresent(l -> l.send(Frame.newBuilder()
                        .setCancel(Cancel.newBuilder().setId(c.attempt()))
                        .build()));
    }

    private void sendCredit(long attempt, UpstreamId upstream, int bytes) {
        Optional.ofNullable(links.get(upstream))
                .ifPresent(l -> l.send(Frame.newBuilder()
                        .setCredit(Credit.newBuilder().setId(attempt).setBytes(bytes))
                        .build()));
    }

    private Optional<CallerExchange> findExchange(long request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    private Optional<CallerExchange> removeExchange(long request, Verdict verdict) {
        Optional<CallerExchange> e = Optional.ofNullable(exchanges.remove(request));
        e.ifPresent(x -> record(x, verdict));
        return e;
    }

    private void record(CallerExchange e, Verdict verdict) {
        RequestContext c = e.context();
        Duration duration = Duration.ofNanos(clock.nanos() - c.arrivedNanos());
        String service = c.service().map(ServiceFile::service).orElse("none");
        metrics.recordRequest(service, c.team(), c.urgency(), verdict, duration);
        if (verdict instanceof Verdict.Completed || !logRateLimiter.tryAcquire(clock.nanos())) {
            return;
        }
        LOG.info("request-ended")
                .with("request", e.requestId())
                .with("service", service)
                .with("team", c.team())
                .with("urgency", c.urgency().externalName())
                .with("verdict", verdict.headerValue())
                .with("reason", EntryMetrics.reasonLabel(verdict))
                .with("ms", duration.toMillis())
                .with("suppressed", logRateLimiter.getAndResetSuppressed())
                .write();
    }

    private void handleEvent(DispatchEvent event) {
        dispatcher.handle(event, clock.nanos()).forEach(this::perform);
    }

    private final class DispatchHandler implements EventLoop.Handler<DispatchEvent> {
        @Override
        public void handle(DispatchEvent event) {
            if (event instanceof DispatchEvent.ConfigurationChanged c) {
                configurationVersion = c.configuration().version();
            }
            handleEvent(event);
        }

        @Override
        public void runDueTasks() {
            handleEvent(new DispatchEvent.Tick());
            openRequests = dispatcher.openRequests();
            metrics.updateGauges(openRequests, dispatcher.retries(), dispatcher.droppedFrames(), configurationVersion);
        }

        @Override
        public long nanosToNextTask() {
            long now = clock.nanos();
            return dispatcher.nextDeadlineNanos().map(d -> d - now).orElse(IDLE_WAIT_NANOS);
        }
    }
}
