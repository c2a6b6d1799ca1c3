package org.citrontide.entry.http;

import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.citrontide.core.publication.Configuration;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.entry.filter.CallerHeaders;
import org.citrontide.entry.filter.FilterChain;
import org.citrontide.entry.filter.Refusal;
import org.citrontide.entry.filter.RequestContext;
import org.citrontide.runtime.duty.Clock;
import org.citrontide.store.configuration.ConfigurationService;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Takes callers' HTTP requests, passes them through the filters and hands them to the dispatcher. Safe for use by many
 * threads.
 */
public final class EntryHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String REQUEST_TIMEOUT = "Request-Timeout";
    private static final String URGENCY = "Urgency";

    private final ConfigurationService configuration;
    private final ExchangeSink sink;
    private final Clock clock;
    private final String idPrefix;
    private final AtomicLong nextId = new AtomicLong(1);

    /**
     * Makes the handler.
     *
     * @param configuration gives the configuration in force
     * @param sink takes the requests that passed
     * @param clock source of time
     * @param incarnation random number drawn at the start of this process
     */
    public EntryHandler(ConfigurationService configuration, ExchangeSink sink, Clock clock, long incarnation) {
        this.configuration = configuration;
        this.sink = sink;
        this.clock = clock;
        this.idPrefix = HexFormat.of().toHexDigits(incarnation) + "-";
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Configuration c = configuration.inForce();
        RequestContext context = new RequestContext(
                request.getMethod(), request.getHttpURI().getPathQuery(), headers(request), c, clock.nanos());
        CallerExchange exchange = new CallerExchange(idPrefix + nextId.getAndIncrement(), context, response, callback);
        request.addFailureListener(failure -> exchange.callerGone());
        if (c.version() == 0) {
            refuse(
                    exchange,
                    new Refusal(new Verdict.NotRun(Reason.NOT_READY, Duration.ofSeconds(1)), "no configuration yet"));
            return true;
        }
        Optional<Refusal> refusal = FilterChain.applyHeaderFilters(context);
        if (refusal.isEmpty() && request.getLength() > MAX_BODY_BYTES) {
            refusal = Optional.of(bodyTooLarge());
        }
        if (refusal.isPresent()) {
            refuse(exchange, refusal.get());
            return true;
        }
        BodyReader.read(request, MAX_BODY_BYTES).whenComplete((body, failure) -> {
            if (failure == null) {
                accept(exchange, body);
            } else if (failure instanceof BodyReader.BodyTooLargeException) {
                refuse(exchange, bodyTooLarge());
            } else {
                callback.failed(failure);
            }
        });
        return true;
    }

    private void accept(CallerExchange exchange, byte[] body) {
        exchange.context().setBody(body);
        Optional<Refusal> refusal = FilterChain.applyBodyFilters(exchange.context());
        if (refusal.isPresent()) {
            refuse(exchange, refusal.get());
            return;
        }
        sink.accept(exchange);
    }

    private void refuse(CallerExchange exchange, Refusal refusal) {
        sink.requestRefused(exchange, refusal.verdict());
        exchange.refuse(refusal.verdict(), refusal.detail());
    }

    private static Refusal bodyTooLarge() {
        return new Refusal(
                new Verdict.NotRun(Reason.BODY_TOO_LARGE, Duration.ZERO),
                "the body is limited to " + MAX_BODY_BYTES + " bytes");
    }

    private static CallerHeaders headers(Request request) {
        return new CallerHeaders(
                header(request, HttpHeader.AUTHORIZATION.asString()),
                header(request, HttpHeader.CONTENT_TYPE.asString()),
                header(request, IDEMPOTENCY_KEY),
                header(request, REQUEST_TIMEOUT),
                header(request, URGENCY));
    }

    private static Optional<String> header(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().getField(name)).map(HttpField::getValue);
    }

    /** Takes the requests from here on. Implementations are safe for use by many threads. */
    public interface ExchangeSink {

        /**
         * Takes a request that passed the filters.
         *
         * @param exchange the request and the way to its caller
         */
        void accept(CallerExchange exchange);

        /**
         * Learns of a request that a filter turned away.
         *
         * @param exchange the request
         * @param verdict the verdict on it
         */
        void requestRefused(CallerExchange exchange, Verdict verdict);
    }
}
