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
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.expertmap.RankReport;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.CallerWaitEstimator;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.gateway.GatewayDispatcher;
import org.citrontide.core.gateway.GatewayEvent;
import org.citrontide.core.gateway.GatewayRequest;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.core.routes.Team;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.gateway.caller.CallerListener;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.gateway.filter.GatewayFilter;
import org.citrontide.gateway.filter.RequestHead;
import org.citrontide.gateway.store.HttpCaller;
import org.citrontide.gateway.upstream.AnswerHead;
import org.citrontide.gateway.upstream.AttemptListener;
import org.citrontide.gateway.upstream.ReportReader;
import org.citrontide.gateway.upstream.UpstreamAttempt;
import org.citrontide.gateway.upstream.UpstreamConnections;
import org.citrontide.platform.PlatformHeaders;

/**
 * Turns requests, answers and timers into events of the dispatcher, and its actions into bytes.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class GatewayShell implements CallerListener, AttemptListener {
    // Deadlines are kept to within this; the smallest that callers set is some hundred milliseconds.
    private static final Duration TICK = Duration.ofMillis(50);
    // Smaller changes of an upstream's speed are not worth a line.
    private static final double NOTED_SPEED_CHANGE = 0.5;
    private static final Duration NO_DEADLINE = Duration.ofSeconds(60);

    private final GatewayDispatcher dispatcher;
    private final UpstreamConnections connections;
    private final ReportReader reports;
    private final RandomGenerator random;
    private final GatewayMetrics metrics;
    private final CallerWaitEstimator waitEstimator = new CallerWaitEstimator();
    private final RequestLog log = new RequestLog();
    private final Map<Long, OpenExchange> open = new HashMap<>();
    private final Map<Long, OpenExchange> byAttempt = new HashMap<>();
    private final Map<CallerRequest, Long> ids = new HashMap<>();
    private final Map<String, Double> speeds = new HashMap<>();
    private RoutingTable table = RoutingTable.NONE;
    private boolean stopping;
    private boolean refusing;
    private long nextRequest = 1;

    /**
     * Makes a shell.
     *
     * @param dispatcher decides
     * @param loop event loop
     * @param random chooses among the services of split routes
     * @param metrics counts
     */
    public GatewayShell(GatewayDispatcher dispatcher, EventLoop loop, RandomGenerator random, GatewayMetrics metrics) {
        this.dispatcher = dispatcher;
        this.connections = new UpstreamConnections(loop, this);
        this.reports = new ReportReader(new HttpCaller(loop));
        this.random = random;
        this.metrics = metrics;
        loop.scheduleAtFixedRate(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Says that the process is stopping, so that connections end with their next answer. */
    public void stop() {
        stopping = true;
    }

    /** Refuses new requests from here on, since the process may end before they could be answered. */
    public void refuseNew() {
        refusing = true;
    }

    /**
     * Returns the table in force.
     *
     * @return the routing table
     */
    public RoutingTable table() {
        return table;
    }

    /**
     * Returns the requests without a final answer.
     *
     * @return count
     */
    public int openRequests() {
        return open.size();
    }

    /**
     * Puts a configuration in force.
     *
     * @param t the routing table
     */
    public void configured(RoutingTable t) {
        table = t;
    }

    /**
     * Takes the list of upstreams.
     *
     * @param upstreams all that may be used
     */
    public void listed(List<ListedUpstream> upstreams) {
        speeds.keySet().retainAll(upstreams.stream().map(ListedUpstream::id).toList());
        handle(new GatewayEvent.UpstreamsUpdated(upstreams));
    }

    @Override
    public boolean isStopping() {
        return stopping;
    }

    @Override
    public void arrived(CallerRequest r) {
        long now = System.nanoTime();
        RequestHead head = new RequestHead(r.target(), r.headers(), table);
        Optional<Reason> refusal = refusing ? Optional.of(Reason.DRAINING) : GatewayFilter.checkAll(head);
        if (refusal.isPresent()) {
            Verdict verdict = new Verdict.NotRun(refusal.get(), TICK);
            log.refusedByFilter(r, table.version(), verdict);
            Refusals.send(r, verdict);
            return;
        }
        GatewayRequest g = request(r, head, now);
        open.put(g.id(), new OpenExchange(r, g));
        ids.put(r, g.id());
        handle(new GatewayEvent.RequestArrived(g));
    }

    @Override
    public void gone(CallerRequest r) {
        Long id = ids.remove(r);
        if (id == null) {
            return;
        }
        OpenExchange e = open.remove(id);
        log.ended(e, "caller-gone", "none", table.version());
        metrics.ended(e.request.service(), e.request.team(), e.request.rank(), "caller-gone", "none", age(e));
        handle(new GatewayEvent.CallerDisconnected(id));
    }

    @Override
    public void streamed(UpstreamAttempt a, byte[] data) {
        OpenExchange e = exchange(a);
        if (e == null) {
            return;
        }
        byte[] events = e.events.add(data);
        if (e.events.hasGap()) {
            connections.cancel(a);
            ended(a, new AttemptOutcome.Broken(Reason.ANSWER_BROKEN));
            return;
        }
        handle(new GatewayEvent.ResponseProgress(a.number(), e.begun || events.length > 0));
        if (events.length == 0 || !open.containsKey(e.request.id())) {
            return;
        }
        begin(e, a.head().orElseThrow());
        e.caller.connection().part(events);
    }

    @Override
    public void ended(UpstreamAttempt a, AttemptOutcome outcome) {
        OpenExchange e = exchange(a);
        if (e == null) {
            return;
        }
        boolean isCut =
                a.head().isPresent() && outcome instanceof AttemptOutcome.Completed && !e.events.isBetweenEvents();
        AttemptOutcome o = isCut ? new AttemptOutcome.Broken(Reason.ANSWER_BROKEN) : outcome;
        byAttempt.remove(a.number());
        log.attemptEnded(e, a, o);
        handle(new GatewayEvent.AttemptEnded(a.number(), o));
    }

    private void tick() {
        handle(new GatewayEvent.Tick());
        metrics.state(open.size(), table.version());
    }

    private OpenExchange exchange(UpstreamAttempt a) {
        OpenExchange e = byAttempt.get(a.number());
        return e != null && e.attempt.isPresent() && e.attempt.get() == a ? e : null;
    }

    private GatewayRequest request(CallerRequest r, RequestHead head, long now) {
        Route route = head.route();
        Duration callerTime = ForwardedRequest.number(r.headers(), PlatformHeaders.REMAINING_MS)
                .map(Duration::ofMillis)
                .orElse(NO_DEADLINE);
        Duration time = callerTime.compareTo(route.timeout()) < 0 ? callerTime : route.timeout();
        int rank = head.team().flatMap(Team::priority).orElse(route.priority());
        TokenCounts tokens = TokenCounts.read(r.headers());
        return new GatewayRequest(
                nextRequest++,
                route,
                route.service(random.nextDouble()),
                head.team().map(Team::name).orElse(""),
                rank,
                tokens.prompt(),
                tokens.answer(),
                waitEstimator.estimateWait(route.name(), time),
                now,
                now + time.toNanos());
    }

    private void handle(GatewayEvent event) {
        for (GatewayAction action : dispatcher.handle(event, System.nanoTime())) {
            switch (action) {
                case GatewayAction.SendAttempt s -> send(s);
                case GatewayAction.CancelAttempt c -> cancel(c.attempt());
                case GatewayAction.DeliverResponse d -> deliver(d);
                case GatewayAction.RefuseRequest r -> refuse(r);
                case GatewayAction.AbortResponse b -> breakOff(b);
                case GatewayAction.QuerySpeeds a -> a.upstreams().forEach(this::askSpeed);
                case GatewayAction.ReportGroupState n -> log.groupNoted(n);
            }
        }
    }

    private void send(GatewayAction.SendAttempt s) {
        OpenExchange e = open.get(s.request().id());
        OptionalLong resumeAfter = s.request().route().retrySafety() == Route.RetrySafety.RESUMABLE
                ? e.events.lastId()
                : OptionalLong.empty();
        e.events.dropRest();
        e.attempts++;
        e.waited = e.waited.or(() -> Optional.of(Duration.ofNanos(age(e))));
        Route route = s.request().route();
        UpstreamAttempt a = new UpstreamAttempt(
                s.attempt(),
                s.upstream(),
                ForwardedRequest.build(e.caller, s, resumeAfter),
                Optional.ofNullable(e.caller.headers().get(PlatformHeaders.ATTEMPT_ID))
                        .orElse(""),
                route.streaming(),
                !route.isRetryable());
        e.attempt = Optional.of(a);
        byAttempt.put(a.number(), e);
        metrics.attempt(s.request().service());
        log.sent(e, a, s.remaining());
        connections.send(a);
    }

    private void askSpeed(ListedUpstream u) {
        reports.read(u, report -> report.ifPresent(r -> told(u, r)));
    }

    private void told(ListedUpstream u, RankReport r) {
        double before = Optional.ofNullable(speeds.put(u.id(), r.slowness())).orElse(1.0);
        if (Math.abs(r.slowness() - before) > NOTED_SPEED_CHANGE) {
            log.speedTold(u.id(), before, r.slowness());
        }
        handle(new GatewayEvent.SpeedReported(u.id(), r.slowness()));
    }

    private void cancel(long attempt) {
        OpenExchange e = byAttempt.remove(attempt);
        if (e != null) {
            e.attempt.ifPresent(connections::cancel);
            e.attempt = Optional.empty();
        }
    }

    private void begin(OpenExchange e, AnswerHead head) {
        if (e.begun) {
            return;
        }
        e.begun = true;
        metrics.firstByte(e.request.team(), e.request.rank(), age(e));
        e.caller.connection().begin(head.status(), answerHeaders(head));
    }

    private void deliver(GatewayAction.DeliverResponse d) {
        OpenExchange e = close(d.request());
        UpstreamAttempt a = e.attempt.orElseThrow();
        AnswerHead head = a.head().orElseThrow();
        finished(e, "delivered", Integer.toString(head.status()));
        if (e.begun) {
            e.caller.connection().endWhole();
        } else {
            e.caller.connection().answer(head.status(), answerHeaders(head), a.body());
        }
    }

    private void refuse(GatewayAction.RefuseRequest r) {
        OpenExchange e = close(r.request());
        finished(e, r.verdict().headerValue(), Refusals.reason(r.verdict()));
        Refusals.send(e.caller, r.verdict());
    }

    private void breakOff(GatewayAction.AbortResponse b) {
        OpenExchange e = close(b.request());
        finished(e, "broken-off", Refusals.reason(b.verdict()));
        e.caller.connection().breakOff();
    }

    private OpenExchange close(long id) {
        OpenExchange e = open.remove(id);
        ids.remove(e.caller);
        return e;
    }

    private void finished(OpenExchange e, String outcome, String reason) {
        log.ended(e, outcome, reason, table.version());
        metrics.ended(e.request.service(), e.request.team(), e.request.rank(), outcome, reason, age(e));
    }

    private static HttpHeaders answerHeaders(AnswerHead head) {
        return ForwardedRequest.endToEnd(head.headers());
    }

    private static long age(OpenExchange e) {
        return System.nanoTime() - e.request.arrivedNanos();
    }
}
