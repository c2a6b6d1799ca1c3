package org.citrontide.core.routes;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The handling of requests for one host and path prefix. Immutable.
 *
 * @param name name of the route, for logs
 * @param host host name in lower case
 * @param prefix prefix of the matching paths, with a slash at both ends
 * @param splits weighted services that share the traffic, at least one
 * @param retrySafety how a request may be retried after an attempt that may have run
 * @param isStreaming whether the response is a stream of events
 * @param timeout maximum time to the end of a response
 * @param target target latency: a response within this time is on time
 * @param targetGap maximum gap between events of a stream that is on time, zero if the response is not a stream
 * @param maxAttempts maximum number of upstreams that one request is sent to
 * @param priority rank of the requests in the admission order, 0 first
 * @param isPublic whether callers may omit the API key
 * @param allowedRegions regions of the upstreams that the requests may go to, empty for all
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<Split> splits,
        RetrySafety retrySafety,
        boolean isStreaming,
        Duration timeout,
        Duration target,
        Duration targetGap,
        int maxAttempts,
        int priority,
        boolean isPublic,
        Set<String> allowedRegions) {

    /** How a request may be retried after an attempt that may have run. */
    public enum RetrySafety {
        /** The request may run again. */
        IDEMPOTENT,
        /** The stream may be resumed after the last event sent to the caller. */
        RESUMABLE,
        /** The request must run at most once, so it may not be retried. */
        AT_MOST_ONCE
    }

    /**
     * The share of one service in the traffic of a route.
     *
     * @param service name of the service
     * @param weight share relative to the sum of all weights, 0 or more
     */
    public record Split(String service, int weight) {}

    /** Validates the route and copies the list. */
    public Route {
        Objects.requireNonNull(name);
        Objects.requireNonNull(retrySafety);
        splits = List.copyOf(splits);
        allowedRegions = Set.copyOf(allowedRegions);
        if (splits.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix of route " + name + " must start and end with a slash: " + prefix);
        }
    }

    /**
     * Creates a route whose requests may go to all regions.
     *
     * @param name name of the route, for logs
     * @param host host name in lower case
     * @param prefix prefix of the matching paths, with a slash at both ends
     * @param splits weighted services that share the traffic, at least one
     * @param retrySafety how a request may be retried after an attempt that may have run
     * @param isStreaming whether the response is a stream of events
     * @param timeout maximum time to the end of a response
     * @param target target latency: a response within this time is on time
     * @param targetGap maximum gap between events of a stream that is on time, zero if the response is not a stream
     * @param maxAttempts maximum number of upstreams that one request is sent to
     * @param priority rank of the requests in the admission order, 0 first
     * @param isPublic whether callers may omit the API key
     */
    public Route(
            String name,
            String host,
            String prefix,
            List<Split> splits,
            RetrySafety retrySafety,
            boolean isStreaming,
            Duration timeout,
            Duration target,
            Duration targetGap,
            int maxAttempts,
            int priority,
            boolean isPublic) {
        this(
                name,
                host,
                prefix,
                splits,
                retrySafety,
                isStreaming,
                timeout,
                target,
                targetGap,
                maxAttempts,
                priority,
                isPublic,
                Set.of());
    }

    /**
     * Returns whether a request may be retried after an attempt that may have run.
     *
     * @return true if another run or a resumption of the stream is safe
     */
    public boolean isRetryable() {
        return retrySafety != RetrySafety.AT_MOST_ONCE;
    }

    /**
     * Selects the service of a request in proportion to the weights.
     *
     * @param point random number, uniformly distributed in [0, 1)
     * @return name of the service
     */
    public String service(double point) {
        int total = splits.stream().mapToInt(Split::weight).sum();
        double left = point * total;
        for (Split s : splits) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return splits.getFirst().service();
    }
}
