package org.citrontide.core.verdict;

import java.util.Locale;
import java.util.Optional;

/** The reason why a request did not complete, with the HTTP status sent to the caller. Immutable. */
public enum Reason {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The token is missing or belongs to no team. */
    UNAUTHENTICATED(401),
    /** No service has this name, or the service does not offer this call. */
    UNKNOWN_SERVICE(404),
    /** The body exceeds the size limit. */
    BODY_TOO_LARGE(413),
    /** The team exceeds its share while the service is short of capacity. */
    OVER_SHARE(429),
    /** The queue is full, or the request was dropped in favour of a more urgent one. */
    OVERLOADED(503),
    /** A bounded ring buffer between two threads is full. */
    RING_FULL(503),
    /** No upstream of the service accepts requests. */
    NO_UPSTREAM(503),
    /** The process is stopping. */
    DRAINING(503),
    /** The process has not loaded a configuration yet. */
    NOT_READY(503),
    /** The platform's store is unreachable, and the call must not run without a claim. */
    STORE_UNREACHABLE(503),
    /** The prompt has a part that crashes upstreams. */
    PROMPT_QUARANTINED(503),
    /** The connection to the upstream could not be established. */
    UPSTREAM_UNREACHABLE(503),
    /** The deadline passed. */
    DEADLINE(504),
    /** The caller disconnected. */
    CANCELLED(499),
    /** A request with the same idempotency key is in progress. */
    IN_PROGRESS(409),
    /** The idempotency key was claimed before, and the response to that request is not available. */
    CLAIMED_BEFORE(409),
    /** The connection was lost after the request was sent. */
    CONNECTION_LOST(502),
    /** The response was truncated or did not match its announced length. */
    ANSWER_BROKEN(502);

    private final int httpStatus;

    Reason(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Finds a reason by its key.
     *
     * @param key text as returned by {@link #key()}
     * @return the reason, or empty if no reason has this key
     */
    public static Optional<Reason> ofKey(String key) {
        for (Reason r : values()) {
            if (r.key().equals(key)) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the HTTP status for this reason.
     *
     * @return HTTP status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the key used in logs, metrics and problem documents.
     *
     * @return lower-case words joined by hyphens
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
