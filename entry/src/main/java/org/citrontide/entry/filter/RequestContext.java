package org.citrontide.entry.filter;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;

/**
 * The state of one request as it passes through the filters. Each field is set by the filter that its comment names and
 * read by later ones. Not thread-safe: one thread at a time filters a request.
 */
public final class RequestContext {
    final String method;
    final String path;
    final Configuration configuration;
    final long arrivedNanos;

    /** The caller's headers that the filters read. */
    final CallerHeaders headers;

    /** The complete body, empty until it has been read. */
    byte[] body = new byte[0];

    /** Set by {@link AuthenticationFilter}. */
    String team = "";

    /** Set by {@link ServiceFilter}. */
    Optional<ServiceFile> service = Optional.empty();

    /** Set by {@link ServiceFilter}: the parsed body, present for a chat completion. */
    Optional<JsonNode> json = Optional.empty();

    /** Set by {@link ServiceFilter}: the path to request at the upstream. */
    String upstreamPath = "";

    /** Set by {@link CallRuleFilter}. */
    boolean isRepeatable;

    /** Set by {@link CallRuleFilter}. */
    Urgency urgency = Urgency.OVERNIGHT;

    /** Set by {@link DeadlineFilter}, in ns of the monotonic clock. */
    long deadlineNanos;

    /** Set by {@link IdempotencyKeyFilter}. */
    Optional<String> idempotencyKey = Optional.empty();

    /** Set by {@link CostFilter}, in tokens. */
    int cost = 1;

    /**
     * Creates the context of a request whose headers have been received.
     *
     * @param method HTTP method
     * @param path path with the query
     * @param headers headers that the filters read
     * @param configuration configuration in force on arrival
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
     * Sets the body.
     *
     * @param bytes the complete body; must not be modified afterwards
     */
    public void setBody(byte[] bytes) {
        body = bytes;
    }

    /**
     * Returns the body.
     *
     * @return the complete body, empty until it has been read; must not be modified
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method as sent by the caller
     */
    public String method() {
        return method;
    }

    /**
     * Returns the caller's headers.
     *
     * @return the headers that the filters read
     */
    public CallerHeaders headers() {
        return headers;
    }

    /**
     * Returns the caller's team.
     *
     * @return name of the team, empty until the request is authenticated
     */
    public String team() {
        return team;
    }

    /**
     * Returns the configuration file of the requested service.
     *
     * @return the file, or empty while the service is unknown
     */
    public Optional<ServiceFile> service() {
        return service;
    }

    /**
     * Returns the path to request at the upstream.
     *
     * @return path with the query, empty while the service is unknown
     */
    public String upstreamPath() {
        return upstreamPath;
    }

    /**
     * Returns whether the request may safely run more than once.
     *
     * @return true if it may, according to the rule of the call
     */
    public boolean isRepeatable() {
        return isRepeatable;
    }

    /**
     * Returns the urgency class.
     *
     * @return the urgency class, {@link Urgency#OVERNIGHT} before the call rule is known
     */
    public Urgency urgency() {
        return urgency;
    }

    /**
     * Returns the deadline.
     *
     * @return monotonic deadline in ns
     */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Returns the idempotency key.
     *
     * @return the key, or empty if the caller sent none
     */
    public Optional<String> idempotencyKey() {
        return idempotencyKey;
    }

    /**
     * Returns the estimated cost.
     *
     * @return estimated cost in tokens
     */
    public int cost() {
        return cost;
    }

    /**
     * Returns the time of arrival.
     *
     * @return monotonic time of arrival in ns
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }
}
