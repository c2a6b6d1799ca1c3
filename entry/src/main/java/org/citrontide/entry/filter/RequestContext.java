package org.citrontide.entry.filter;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;

/**
 * What the filters learn of one request. Each field is set by the filter that its comment names and read by later ones.
 * Not thread-safe: one request is filtered by one thread at a time.
 */
public final class RequestContext {
    final String method;
    final String path;
    final Configuration configuration;
    final long arrivedNanos;

    /** Headers of the caller; absent ones are empty. */
    final CallerHeaders headers;

    /** The whole body, empty before it was read. */
    byte[] body = new byte[0];

    /** Set by {@link AuthenticationFilter}. */
    String team = "";

    /** Set by {@link ServiceFilter}. */
    Optional<ServiceFile> service = Optional.empty();

    /** Set by {@link ServiceFilter}: the parsed body of a chat completion. */
    Optional<JsonNode> json = Optional.empty();

    /** Set by {@link ServiceFilter}: the path at the upstream. */
    String upstreamPath = "";

    /** Set by {@link CallFilter}. */
    boolean repeatable;

    /** Set by {@link CallFilter}. */
    Urgency urgency = Urgency.OVERNIGHT;

    /** Set by {@link DeadlineFilter}, in ns of the monotonic clock. */
    long deadlineNanos;

    /** Set by {@link IdempotencyFilter}. */
    Optional<String> idempotencyKey = Optional.empty();

    /** Set by {@link CostFilter}, in tokens. */
    int cost = 1;

    /**
     * Begins with what the request line and the headers say.
     *
     * @param method HTTP method
     * @param path path with its query
     * @param headers headers that filters look at
     * @param configuration configuration in force
     * @param arrivedNanos monotonic time of arrival in ns
     */
    public RequestContext(
            String method, String path, CallerHeaders headers, Configuration configuration, long arrivedNanos) {
        this.method = method;
        this.path = path;
        this.headers = headers;
        this.configuration = configuration;
        this.arrivedNanos = arrivedNanos;
    }

    /**
     * Sets the body once it was read.
     *
     * @param bytes the whole body; must not be changed afterwards
     */
    public void body(byte[] bytes) {
        body = bytes;
    }

    /**
     * Returns the body.
     *
     * @return the whole body; must not be changed
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the HTTP method.
     *
     * @return method in upper case
     */
    public String method() {
        return method;
    }

    /**
     * Returns the caller's headers.
     *
     * @return the headers that filters look at
     */
    public CallerHeaders headers() {
        return headers;
    }

    /**
     * Returns the caller's team.
     *
     * @return name of the team, empty before authentication
     */
    public String team() {
        return team;
    }

    /**
     * Returns the service's file.
     *
     * @return the file, or empty before the service is known
     */
    public Optional<ServiceFile> service() {
        return service;
    }

    /**
     * Returns the path at the upstream.
     *
     * @return path with its query
     */
    public String upstreamPath() {
        return upstreamPath;
    }

    /**
     * Says whether running the request twice does no harm.
     *
     * @return true if so
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Returns the urgency class.
     *
     * @return the class
     */
    public Urgency urgency() {
        return urgency;
    }

    /**
     * Returns the deadline.
     *
     * @return monotonic time in ns
     */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Returns the idempotency key.
     *
     * @return the caller's key, if there is one
     */
    public Optional<String> idempotencyKey() {
        return idempotencyKey;
    }

    /**
     * Returns the estimated cost.
     *
     * @return cost in tokens
     */
    public int cost() {
        return cost;
    }

    /**
     * Returns the time of arrival.
     *
     * @return monotonic time in ns
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }
}
