package org.citrontide.core.routes;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * How requests of one host and path prefix are treated. Immutable.
 *
 * @param name name of the route, for logs
 * @param host host name in lower case
 * @param prefix beginning of the paths that it covers, with a slash at both ends
 * @param splits services that share the traffic, at least one
 * @param repeat what may be done after an attempt that may have run
 * @param streaming whether the answer is a series of events
 * @param timeout longest time that a caller is kept waiting
 * @param target time within which an answer is on time
 * @param targetGap longest pause between events of an answer that is on time, zero if it is no stream
 * @param maxAttempts most upstreams that one request is sent to
 * @param priority rank of the requests, 0 first
 * @param isPublic whether callers need no key
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<Split> splits,
        Repeat repeat,
        boolean streaming,
        Duration timeout,
        Duration target,
        Duration targetGap,
        int maxAttempts,
        int priority,
        boolean isPublic) {

    /** What may be done with a request after an attempt that may have run. */
    public enum Repeat {
        /** It may run again. */
        IDEMPOTENT,
        /** Its stream may be resumed after the last event that the caller has. */
        RESUMABLE,
        /** Nothing: it runs once at most. */
        ONCE
    }

    /**
     * One service's part of the traffic.
     *
     * @param service name of the service
     * @param weight its share relative to the other weights, 0 or more
     */
    public record Split(String service, int weight) {}

    /** Checks the parts and copies the list. */
    public Route {
        Objects.requireNonNull(name);
        Objects.requireNonNull(repeat);
        splits = List.copyOf(splits);
        if (splits.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " leads to no service");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix of route " + name + " needs a slash at both ends: " + prefix);
        }
    }

    /**
     * Says whether an attempt that may have run can be followed by another one.
     *
     * @return true if repeating does no harm
     */
    public boolean isRepeatable() {
        return repeat != Repeat.ONCE;
    }

    /**
     * Chooses the service of one request.
     *
     * @param point uniformly distributed in [0, 1)
     * @return name of a service, in proportion to the weights
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
