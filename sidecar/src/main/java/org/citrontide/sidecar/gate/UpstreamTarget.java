package org.citrontide.sidecar.gate;

import java.net.InetSocketAddress;

import org.citrontide.core.publication.Urgency;
import org.citrontide.wire.generated.Attempt;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/** Builds the HTTP requests to the upstream. Safe for use by many threads. */
public final class UpstreamTarget {
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String REQUEST_ID = "Citrontide-Request-Id";
    private static final String TEAM = "Citrontide-Team";
    private static final String RESUME_AFTER_EVENTS = "Resume-After-Events";
    private static final String PRIORITY = "Priority";

    private final HttpClient client;
    private final String base;

    /**
     * Makes a target.
     *
     * @param client started HTTP client
     * @param address IP number and port of the upstream
     */
    public UpstreamTarget(HttpClient client, InetSocketAddress address) {
        this.client = client;
        this.base = "http://" + address.getHostString() + ":" + address.getPort();
    }

    Request request(Attempt a) {
        Request r = client.newRequest(base + a.getPath()).method(a.getMethod());
        r.headers(h -> {
            h.put(REQUEST_ID, a.getRequestId());
            h.put(TEAM, a.getTeam());
            h.put(PRIORITY, priority(Urgency.ofOrdinal(a.getUrgency())));
            if (!a.getIdempotencyKey().isEmpty()) {
                h.put(IDEMPOTENCY_KEY, a.getIdempotencyKey());
            }
            if (a.getResumeAfterEvents() > 0) {
                h.put(RESUME_AFTER_EVENTS, a.getResumeAfterEvents());
            }
            h.remove(HttpHeader.ACCEPT_ENCODING);
            h.remove(HttpHeader.USER_AGENT);
        });
        if (!a.getBody().isEmpty()) {
            String type = a.getContentType().isEmpty() ? "application/octet-stream" : a.getContentType();
            r.body(new BytesRequestContent(type, a.getBody().toByteArray()));
        }
        return r;
    }

    /** The urgency parameter of RFC 9218, 0 to 7. */
    private static String priority(Urgency u) {
        return switch (u) {
            case LIVE -> "u=1";
            case DAILY -> "u=3";
            case OVERNIGHT -> "u=6";
        };
    }
}
