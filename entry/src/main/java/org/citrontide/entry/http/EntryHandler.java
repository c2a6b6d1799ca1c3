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
import org.citrontide.runtime.eventloop.Clock;
import org.citrontide.store.configuration.ConfigurationService;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Receives the HTTP requests of callers, applies the filters and passes accepted requests on to the dispatcher.
 * Thread-safe.
 */
public final class EntryHandler extends Handler.Abstract.NonBlocking {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String REQUEST_TIMEOUT = "Request-Timeout";
    private static final String URGENCY = "Urgency";

    private final ConfigurationService configuration;
    private final ExchangeSink sink;
    private final Clock clock;
    private final String requestIdPrefix;
    private final AtomicLong nextRequestNumber = new AtomicLong(1);

    /**
     * Creates the handler.
     *
     * @param configuration source of the configuration in force
     * @param sink receiver of the accepted and refused requests
     * @param clock clock of the process
     * @param incarnation random number drawn at the start of this process
     */
    public EntryHandler(ConfigurationService configuration, ExchangeSink sink, Clock clock, long incarnation) {
        this.configuration = configuration;
        this.sink = sink;
        this.clock = clock;
        this.requestIdPrefix = HexFormat.of().toHexDigits(incarnation) + "-";
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Configuration current = configuration.inForce();
        RequestContext context = new RequestContext(
                request.getMethod(), request.getHttpURI().getPathQuery(), readHeaders(request), current, clock.nanos());
        CallerExchange exchange =
                new CallerExchange(requestIdPrefix + nextRequestNumber.getAndIncrement(), context, response, callback);
        request.addFailureListener(failure -> exchange.handleDisconnect());
        if (current.version() == 0) {
            Verdict.NotRun notReady = new Verdict.NotRun(Reason.NOT_READY, Duration.ofSeconds(1));
            refuseUnread(request, response, exchange, new Refusal(notReady, "this entry has no configuration yet"));
            return true;
        }
        Optional<Refusal> refusal = FilterChain.applyHeaderFilters(context);
        if (refusal.isEmpty() && request.getLength() > MAX_BODY_BYTES) {
            refusal = Optional.of(createBodyTooLargeRefusal());
        }
        if (refusal.isPresent()) {
            refuseUnread(request, response, exchange, refusal.get());
            return true;
        }
        BodyReader.read(request, MAX_BODY_BYTES).whenComplete((body, failure) -> {
            if (failure == null) {
                filterWithBody(exchange, body);
            } else if (failure instanceof BodyReader.BodyTooLargeException) {
                refuseUnread(request, response, exchange, createBodyTooLargeRefusal());
            } else {
                callback.failed(failure);
            }
        });
        return true;
    }

    private void filterWithBody(CallerExchange exchange, byte[] body) {
        exchange.context().setBody(body);
        Optional<Refusal> refusal = FilterChain.applyBodyFilters(exchange.context());
        if (refusal.isPresent()) {
            refuseRequest(exchange, refusal.get());
            return;
        }
        sink.accept(exchange);
    }

    /**
     * Refuses a request whose body may not be read completely. The server then closes the connection, and the response
     * must say so: a caller that reuses the connection gets no answer.
     */
    private void refuseUnread(Request request, Response response, CallerExchange exchange, Refusal refusal) {
        if (!request.consumeAvailable()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        refuseRequest(exchange, refusal);
    }

    private void refuseRequest(CallerExchange exchange, Refusal refusal) {
        sink.requestRefused(exchange, refusal.verdict());
        exchange.sendRefusal(refusal.verdict(), refusal.detail());
    }

    private static Refusal createBodyTooLargeRefusal() {
        return new Refusal(
                new Verdict.NotRun(Reason.BODY_TOO_LARGE, Duration.ZERO),
                "the body is limited to " + MAX_BODY_BYTES + " bytes");
    }

    private static CallerHeaders readHeaders(Request request) {
        return new CallerHeaders(
                readHeader(request, HttpHeader.AUTHORIZATION.asString()),
                readHeader(request, HttpHeader.CONTENT_TYPE.asString()),
                readHeader(request, IDEMPOTENCY_KEY),
                readHeader(request, REQUEST_TIMEOUT),
                readHeader(request, URGENCY));
    }

    private static Optional<String> readHeader(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().getField(name)).map(HttpField::getValue);
    }

    /** Receives the requests after the filters. Implementations are thread-safe. */
    public interface ExchangeSink {

        /**
         * Handles a request that passed the filters.
         *
         * @param exchange the request and the means to answer it
         */
        void accept(CallerExchange exchange);

        /**
         * Records a request that a filter refused, before the refusal is sent.
         *
         * @param exchange the refused request
         * @param verdict verdict of the refusal
         */
        void requestRefused(CallerExchange exchange, Verdict verdict);
    }
}
