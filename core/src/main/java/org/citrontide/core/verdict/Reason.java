package org.citrontide.core.verdict;

import java.util.Locale;
import java.util.Optional;

/** Why a request did not complete. The HTTP status is what the caller sees. Immutable. */
public enum Reason {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The token is missing or names no team. */
    UNAUTHENTICATED(401),
    /** No service has this name, or the service has no such call. */
    UNKNOWN_SERVICE(404),
    /** The body is longer than the limit. */
    BODY_TOO_LARGE(413),
    /** The team is above its share while the service is short of capacity. */
    OVER_SHARE(429),
    /** The queue is full, or the request gave way to more urgent work. */
    OVERLOADED(503),
    /** A bounded ring between two threads is full. */
    RING_FULL(503),
    /** No upstream of the service takes work. */
    NO_UPSTREAM(503),
    /** The process is stopping. */
    DRAINING(503),
    /** The process has no configuration yet. */
    NOT_READY(503),
    /** The platform's key-value service can't be reached, and the call must not run without a claim. */
    STORE_UNREACHABLE(503),
    /** The connection to the upstream could not be made. */
    UPSTREAM_UNREACHABLE(503),
    /** The deadline passed. */
    DEADLINE(504),
    /** The caller went away. */
    CANCELLED(499),
    /** The same idempotency key is running now. */
    IN_PROGRESS(409),
    /** The same idempotency key was claimed before, and its answer is not at hand. */
    CLAIMED_BEFORE(409),
    /** The connection broke after the request was sent. */
    CONNECTION_LOST(502),
    /** The answer broke off or did not match its announced length. */
    ANSWER_BROKEN(502);

    private final int httpStatus;

    Reason(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Finds a reason by its key.
     *
     * @param key text as made by {@link #key()}
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
     * Returns the HTTP status that goes with this reason.
     *
     * @return status code
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
