package org.citrontide.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.gateway.GatewayDispatcher;
import org.citrontide.core.gateway.GatewayEvent;
import org.citrontide.core.gateway.GatewayRequest;
import org.citrontide.core.gateway.ResponseMemory;
import org.citrontide.core.gateway.StopSchedule;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.gateway.caller.CallerListener;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.gateway.filter.RequestHead;
import org.citrontide.gateway.store.CrashEvidenceStore;
import org.citrontide.gateway.store.PlatformClient;
import org.citrontide.gateway.upstream.AttemptListener;
import org.citrontide.gateway.upstream.ReportReader;
import org.citrontide.gateway.upstream.ResponseFaults;
import org.citrontide.gateway.upstream.ResponseHead;
import org.citrontide.gateway.upstream.UpstreamAttempt;
import org.citrontide.gateway.upstream.UpstreamChecker;
import org.citrontide.gateway.upstream.UpstreamConnectionPool;
import org.citrontide.platform.PlatformHeaders;
import org.citrontide.runtime.eventloop.GuardedTask;

/**
 * Connects the {@link GatewayDispatcher} to the network: passes requests, responses and timer ticks to it as events,
 * and carries out the actions that it returns.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class GatewayShell implements CallerListener, AttemptListener {
    // Deadlines are enforced with this precision; the shortest that callers set are some hundred milliseconds.
    private static final Duration TICK = Duration.ofMillis(50);

    private final GatewayDispatcher dispatcher;
    private final ResponseMemory responseMemory;
    private final UpstreamConnectionPool connectionPool;
    private final UpstreamSpeeds speeds;
    private final UpstreamChecker checker;
    private final GatewayRequestFactory requestFactory;
    private final GatewayMetrics metrics;
    private final ColdReports coldReports;
    private final BackoffReports backoffReports;
    private final EventLoop loop;
    private final StartupRequests startupRequests;
    private final RequestLog log = new RequestLog();
    private final DispatchUpdates updates;
    private final Map<Long, OpenExchange> openById = new HashMap<>();
    private final Map<Long, OpenExchange> openByAttempt = new HashMap<>();
    private final Map<CallerRequest, Long> idByRequest = new HashMap<>();
    private Optional<CrashEvidenceStore> crashEvidence = Optional.empty();
    private RoutingTable table = RoutingTable.NONE;
    private Optional<StopSchedule> stopSchedule = Optional.empty();

    /**
     * Creates a shell and schedules its periodic tick.
     *
     * @param dispatcher decides on the requests
     * @param loop event loop that owns the shell
     * @param random source of randomness for the choice among the services of split routes
     * @param metrics metrics to update
     * @param responseMemory limits the memory for incomplete responses
     * @param responseFaults counts and logs bytes of upstreams that belong to no response
     */
    public GatewayShell(
            GatewayDispatcher dispatcher,
            EventLoop loop,
            RandomGenerator random,
            GatewayMetrics metrics,
            ResponseMemory responseMemory,
            ResponseFaults responseFaults) {
        this.dispatcher = dispatcher;
        this.responseMemory = responseMemory;
        this.connectionPool =
                new UpstreamConnectionPool(loop, this, responseMemory, responseFaults, metrics.sendMonitor());
        this.speeds = new UpstreamSpeeds(new ReportReader(PlatformClient.forEngines(loop)), log, this::handle);
        this.checker = new UpstreamChecker(loop);
        this.requestFactory = new GatewayRequestFactory(random);
        this.metrics = metrics;
        this.coldReports = metrics.coldReports();
        this.backoffReports = metrics.backoffReports();
        this.updates = new DispatchUpdates(this::handle, log, metrics);
        this.loop = loop;
        this.startupRequests = new StartupRequests(random, metrics.startupMetrics(), System.nanoTime());
        Runnable tick = new GuardedTask("dispatch-tick", this::tick);
        loop.scheduleAtFixedRate(tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
        metrics.scheduleRetryBudgets(loop, () -> dispatcher.retryBudgets(System.nanoTime()));
    }

    /**
     * Starts a planned stop: each caller's connection is closed after its next response, and new requests are accepted
     * only as the schedule permits.
     *
     * @param schedule decides which requests are still accepted
     */
    public void startStop(StopSchedule schedule) {
        stopSchedule = Optional.of(schedule);
        startupRequests.pollForStop().forEach(held -> refuseEarly(held.caller(), Reason.DRAINING, held.arrivedNanos()));
    }

    /**
     * Returns the routing table in force.
     *
     * @return the routing table, {@link RoutingTable#NONE} before the first configuration
     */
    public RoutingTable table() {
        return table;
    }

    /**
     * Returns the number of requests without a final response.
     *
     * @return number of open requests
     */
    public int openRequests() {
        return openById.size() + startupRequests.size();
    }

    /**
     * Puts a routing table in force.
     *
     * @param newTable the routing table
     */
    public void setRoutingTable(RoutingTable newTable) {
        table = newTable;
        handle(new GatewayEvent.ColdRulesUpdated(newTable.coldRules()));
        handle(new GatewayEvent.EngineProfilesUpdated(newTable.engines()));
        if (startupRequests.size() > 0) {
            // The upstreams and the evacuated zones of the same read are passed on after the configuration.
            loop.execute(new GuardedTask("startup-release", this::releaseStartupRequests));
        }
    }

    /**
     * Sets how many requests wait for the first configuration. None do before.
     *
     * @param count maximum number of requests, 0 for none
     */
    public void setMaxStartupRequests(int count) {
        startupRequests.setMaxRequests(count);
    }

    /**
     * Returns what passes changes of the shared state on to the dispatcher.
     *
     * @return the updates, confined to the event loop
     */
    public DispatchUpdates updates() {
        return updates;
    }

    /**
     * Updates the list of upstreams.
     *
     * @param upstreams all usable upstreams
     */
    public void updateUpstreams(List<ListedUpstream> upstreams) {
        speeds.retain(upstreams);
        handle(new GatewayEvent.UpstreamsUpdated(upstreams));
    }

    /**
     * Sets where crashes of upstreams are reported.
     *
     * @param store shares the evidence with other gateways
     */
    public void setCrashEvidence(CrashEvidenceStore store) {
        crashEvidence = Optional.of(store);
    }

    @Override
    public boolean isStopping() {
        return stopSchedule.isPresent();
    }

    @Override
    public void requestArrived(CallerRequest request) {
        acceptRequest(request, System.nanoTime());
    }

    /** Dispatches a request that arrived at the given time, keeps it until it can be checked, or refuses it. */
    private void acceptRequest(CallerRequest request, long arrivedNanos) {
        long now = System.nanoTime();
        RequestHead head = new RequestHead(request.target(), request.headers(), table);
        Optional<Reason> refusal = requestFactory.findRefusal(request, head, stopSchedule, now);
        if (refusal.isPresent()) {
            boolean canWait = refusal.get() == Reason.NOT_READY && stopSchedule.isEmpty();
            if (!canWait || !startupRequests.tryHold(request, now)) {
                refuseEarly(request, refusal.get(), arrivedNanos);
            }
            return;
        }
        GatewayRequest gatewayRequest = requestFactory.create(request, head, arrivedNanos);
        openById.put(gatewayRequest.id(), new OpenExchange(request, gatewayRequest));
        idByRequest.put(request, gatewayRequest.id());
        handle(new GatewayEvent.RequestArrived(gatewayRequest));
    }

    private void refuseEarly(CallerRequest request, Reason reason, long arrivedNanos) {
        Duration retryAfter = reason == Reason.NOT_READY
                ? startupRequests.retryAfter(request, arrivedNanos, System.nanoTime())
                : TICK;
        Verdict verdict = new Verdict.NotRun(reason, retryAfter);
        log.logFilterRefusal(request, table.version(), verdict);
        Refusals.send(request, verdict);
    }

    /** Handles a request that arrived when the configured limit on bodies was not known yet. */
    private void releaseStartupRequest(StartupRequests.Held held) {
        if (held.caller().bodyLength() > table.limits().bodyBytes()) {
            refuseEarly(held.caller(), Reason.BODY_TOO_LARGE, held.arrivedNanos());
        } else {
            acceptRequest(held.caller(), held.arrivedNanos());
        }
    }

    private void releaseStartupRequests() {
        for (StartupRequests.Held held : startupRequests.release(System.nanoTime())) {
            new GuardedTask("startup-request", () -> releaseStartupRequest(held)).run();
        }
    }

    @Override
    public void callerDisconnected(CallerRequest request) {
        startupRequests.remove(request);
        Long id = idByRequest.remove(request);
        if (id == null) {
            return;
        }
        OpenExchange exchange = openById.remove(id);
        recordRequestEnd(exchange, "caller-gone", "none");
        handle(new GatewayEvent.CallerDisconnected(id));
    }

    @Override
    public void headReceived(UpstreamAttempt attempt) {
        ResponseHead head = attempt.head().orElseThrow();
        head.coldRemaining().ifPresent(r -> handle(new GatewayEvent.ColdReported(attempt.upstream(), r)));
        head.backoff().ifPresent(b -> handle(new GatewayEvent.BackoffRequested(attempt.upstream(), b)));
        if (head.hasMalformedBackoff()) {
            backoffReports.reportMalformed(attempt.upstream(), head.headers().get(HttpHeaderNames.RETRY_AFTER));
        }
        if (head.hasMalformedRateLimit()) {
            log.logMalformedRateLimit(attempt.upstream(), head.headers().get(PlatformHeaders.RATE_LIMIT));
            return;
        }
        if (head.isStamped() || head.rateLimit().isPresent()) {
            handle(new GatewayEvent.HeadReceived(attempt.number(), head.rateLimit()));
        }
    }

    @Override
    public void dataReceived(UpstreamAttempt attempt, byte[] data) {
        OpenExchange exchange = findExchange(attempt);
        if (exchange == null) {
            return;
        }
        forwardEvents(exchange, attempt, exchange.eventMerger.add(data));
        if (exchange.eventMerger.isBroken() && findExchange(attempt) != null) {
            connectionPool.cancel(attempt);
            attemptEnded(attempt, new AttemptOutcome.Broken(Reason.ANSWER_BROKEN));
        }
    }

    /** Sends complete events to the caller, and reports the progress of the attempt. */
    private void forwardEvents(OpenExchange exchange, UpstreamAttempt attempt, byte[] events) {
        if (events.length == 0 && exchange.eventMerger.isBroken()) {
            return;
        }
        handle(new GatewayEvent.ResponseProgress(attempt.number(), exchange.responseStarted || events.length > 0));
        if (events.length == 0 || !openById.containsKey(exchange.request.id())) {
            return;
        }
        startResponse(exchange, attempt.head().orElseThrow());
        exchange.caller.connection().writeChunk(events);
        if (!exchange.caller.connection().isWritable()) {
            setReading(exchange, attempt, false);
        }
    }

    @Override
    public void callerWritable(CallerRequest request) {
        Long id = idByRequest.get(request);
        if (id != null) {
            OpenExchange exchange = openById.get(id);
            exchange.attempt
                    .filter(attempt -> findExchange(attempt) == exchange)
                    .ifPresent(attempt -> setReading(exchange, attempt, true));
        }
    }

    private void setReading(OpenExchange exchange, UpstreamAttempt attempt, boolean isReading) {
        if (exchange.isReadingPaused != isReading) {
            return;
        }
        exchange.isReadingPaused = !isReading;
        log.logReadingChange(exchange, attempt, isReading);
        connectionPool.setReading(attempt, isReading);
        handle(new GatewayEvent.ReadingPaused(attempt.number(), !isReading));
    }

    @Override
    public void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
        OpenExchange exchange = findExchange(attempt);
        if (exchange == null) {
            return;
        }
        boolean isTruncated = outcome instanceof AttemptOutcome.Completed && exchange.isTruncated(attempt);
        AttemptOutcome finalOutcome = isTruncated ? new AttemptOutcome.Broken(Reason.ANSWER_BROKEN) : outcome;
        openByAttempt.remove(attempt.number());
        log.logAttemptEnd(exchange, attempt, finalOutcome);
        handle(new GatewayEvent.AttemptEnded(attempt.number(), finalOutcome));
    }

    private void tick() {
        handle(new GatewayEvent.Tick());
        startupRequests
                .pollOverdue(System.nanoTime())
                .forEach(held -> refuseEarly(held.caller(), Reason.NOT_READY, held.arrivedNanos()));
        metrics.recordState(openRequests(), table.version(), responseMemory.usedBytes());
    }

    private OpenExchange findExchange(UpstreamAttempt attempt) {
        OpenExchange exchange = openByAttempt.get(attempt.number());
        return exchange != null && exchange.attempt.isPresent() && exchange.attempt.get() == attempt ? exchange : null;
    }

    private void handle(GatewayEvent event) {
        for (GatewayAction action : dispatcher.handle(event, System.nanoTime())) {
            switch (action) {
                case GatewayAction.SendAttempt s -> sendAttempt(s);
                case GatewayAction.CancelAttempt c -> cancelAttempt(c.attempt());
                case GatewayAction.WithdrawAttempt w -> withdrawAttempt(w.attempt());
                case GatewayAction.DeliverResponse d -> deliverResponse(d);
                case GatewayAction.RefuseRequest r -> refuseRequest(r);
                case GatewayAction.AbortResponse b -> abortResponse(b);
                case GatewayAction.QuerySpeeds a -> a.upstreams().forEach(speeds::query);
                case GatewayAction.ReportGroupState n -> reportGroupState(n);
                case GatewayAction.ReportGroupAvailability a -> log.logGroupAvailability(a);
                case GatewayAction.ReportRateLimit l -> log.logRateLimit(l);
                case GatewayAction.ReportBackoff b -> backoffReports.report(b);
                case GatewayAction.ReportPlacement p ->
                    metrics.placementReports().report(p.report());
                case GatewayAction.ReportCold c -> coldReports.reportCold(c.change());
                case GatewayAction.ReportHeldBack h ->
                    coldReports.reportHeldBack(h.request().service());
                case GatewayAction.CheckUpstream c ->
                    checker.check(
                            c.upstream(), refused -> handle(new GatewayEvent.UpstreamChecked(c.upstream(), refused)));
                case GatewayAction.PublishEvidence p -> publish(p.evidence());
                case GatewayAction.ReportRetryDenied d -> reportRetryDenied(d);
                case GatewayAction.ReportQuarantine q -> log.logQuarantine(q.decision());
            }
        }
    }

    private void reportGroupState(GatewayAction.ReportGroupState change) {
        log.logGroupState(change);
        metrics.recordGroupState(change);
    }

    private void publish(CrashEvidence evidence) {
        if (evidence instanceof CrashEvidence.Crash crash) {
            log.logCrash(crash);
        }
        crashEvidence.ifPresent(store -> store.publish(evidence));
    }

    private void sendAttempt(GatewayAction.SendAttempt send) {
        OpenExchange exchange = openById.get(send.request().id());
        OptionalLong resumeAfter = send.request().route().retrySafety() == Route.RetrySafety.RESUMABLE
                ? exchange.eventMerger.lastEventId()
                : OptionalLong.empty();
        exchange.eventMerger.startAttempt();
        exchange.attempts++;
        exchange.timeToFirstAttempt =
                exchange.timeToFirstAttempt.or(() -> Optional.of(Duration.ofNanos(ageNanos(exchange))));
        UpstreamAttempt attempt = new UpstreamAttempt(
                send.attempt(),
                send.upstream(),
                UpstreamRequestBuilder.build(exchange.caller, send, resumeAfter),
                send.remaining(),
                Optional.ofNullable(exchange.caller.headers().get(PlatformHeaders.ATTEMPT_ID))
                        .orElse(""),
                send.request().route().isStreaming(),
                !send.request().route().isRetryable());
        exchange.attempt = Optional.of(attempt);
        exchange.isReadingPaused = false;
        openByAttempt.put(attempt.number(), exchange);
        metrics.recordAttempt(send);
        log.logRetry(exchange, attempt, send);
        connectionPool.send(attempt);
    }

    private void reportRetryDenied(GatewayAction.ReportRetryDenied denied) {
        metrics.recordRetryDenied(denied);
        log.logRetryDenied(openById.get(denied.request().id()), denied);
    }

    private void cancelAttempt(long attempt) {
        OpenExchange exchange = openByAttempt.remove(attempt);
        if (exchange != null) {
            exchange.attempt.ifPresent(connectionPool::cancel);
            exchange.attempt = Optional.empty();
        }
    }

    private void withdrawAttempt(long attempt) {
        Optional.ofNullable(openByAttempt.get(attempt))
                .flatMap(exchange -> exchange.attempt)
                .ifPresent(connectionPool::withdraw);
    }

    private void startResponse(OpenExchange exchange, ResponseHead head) {
        if (exchange.responseStarted) {
            return;
        }
        exchange.responseStarted = true;
        metrics.recordFirstByte(exchange.request.team(), exchange.request.rank(), ageNanos(exchange));
        exchange.caller.connection().startResponse(head.status(), UpstreamRequestBuilder.copyEndToEnd(head.headers()));
    }

    private void deliverResponse(GatewayAction.DeliverResponse deliver) {
        OpenExchange exchange = removeExchange(deliver.request());
        UpstreamAttempt attempt = exchange.attempt.orElseThrow();
        ResponseHead head = attempt.head().orElseThrow();
        recordRequestEnd(exchange, "delivered", Integer.toString(head.status()));
        if (exchange.responseStarted) {
            exchange.caller.connection().endResponse();
        } else {
            exchange.caller
                    .connection()
                    .sendResponse(head.status(), UpstreamRequestBuilder.copyEndToEnd(head.headers()), attempt.body());
        }
    }

    private void refuseRequest(GatewayAction.RefuseRequest refuse) {
        OpenExchange exchange = removeExchange(refuse.request());
        recordRequestEnd(exchange, refuse.verdict().headerValue(), Refusals.reasonKey(refuse.verdict()));
        Refusals.send(exchange.caller, refuse.verdict());
    }

    private void abortResponse(GatewayAction.AbortResponse abort) {
        OpenExchange exchange = removeExchange(abort.request());
        recordRequestEnd(exchange, "broken-off", Refusals.reasonKey(abort.verdict()));
        exchange.caller.connection().abort();
    }

    private OpenExchange removeExchange(long id) {
        OpenExchange exchange = openById.remove(id);
        idByRequest.remove(exchange.caller);
        return exchange;
    }

    private void recordRequestEnd(OpenExchange exchange, String outcome, String reason) {
        log.logRequestEnd(exchange, outcome, reason, table.version());
        metrics.recordRequestEnd(
                exchange.request.service(),
                exchange.request.team(),
                exchange.request.rank(),
                outcome,
                reason,
                ageNanos(exchange));
    }

    private static long ageNanos(OpenExchange exchange) {
        return System.nanoTime() - exchange.request.arrivedNanos();
    }
}
