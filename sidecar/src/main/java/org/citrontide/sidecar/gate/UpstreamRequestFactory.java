package org.citrontide.sidecar.gate;

import java.net.InetSocketAddress;

import org.citrontide.core.publication.Urgency;
import org.citrontide.wire.generated.Attempt;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/** Creates the HTTP requests to the upstream. Thread-safe. */
public final class UpstreamRequestFactory {
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String REQUEST_ID = "Citrontide-Request-Id";
    private static final String TEAM = "Citrontide-Team";
    private static final String RESUME_AFTER_EVENTS = "Resume-After-Events";
    private static final String PRIORITY = "Priority";

    private final HttpClient client;
    private final String baseUri;

    /**
     * Creates a factory.
     *
     * @param client HTTP client, already started
     * @param address IP address and port of the upstream
     */
    public UpstreamRequestFactory(HttpClient client, InetSocketAddress address) {
        this.client = client;
        this.baseUri = "http://" + address.getHostString() + ":" + address.getPort();
    }

    Request createRequest(Attempt attempt) {
        Request request = client.newRequest(baseUri + attempt.getPath()).method(attempt.getMethod());
        request.headers(h -> {
            h.put(REQUEST_ID, attempt.getRequestId());
            h.put(TEAM, attempt.getTeam());
            h.put(PRIORITY, formatPriority(Urgency.ofOrdinal(attempt.getUrgency())));
            if (!attempt.getIdempotencyKey().isEmpty()) {
                h.put(IDEMPOTENCY_KEY, attempt.getIdempotencyKey());
            }
            if (attempt.getResumeAfterEvents() > 0) {
                h.put(RESUME_AFTER_EVENTS, attempt.getResumeAfterEvents());
            }
            h.remove(HttpHeader.ACCEPT_ENCODING);
            h.remove(HttpHeader.USER_AGENT);
        });
        if (!attempt.getBody().isEmpty()) {
            String contentType =
                    attempt.getContentType().isEmpty() ? "application/octet-stream" : attempt.getContentType();
            request.body(new BytesRequestContent(contentType, attempt.getBody().toByteArray()));
        }
        return request;
    }

    /** Returns the priority field value of RFC 9218, whose urgency parameter ranges from 0 to 7. */
    private static String formatPriority(Urgency urgency) {
        return switch (urgency) {
            case LIVE -> "u=1";
            case DAILY -> "u=3";
            case OVERNIGHT -> "u=6";
        };
    }
}
