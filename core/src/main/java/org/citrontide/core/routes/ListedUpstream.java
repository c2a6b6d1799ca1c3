package org.citrontide.core.routes;

import java.util.Objects;

/**
 * An upstream as the platform's list names it. Immutable.
 *
 * @param id name of this start of the upstream
 * @param service name of its service
 * @param host IP number
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it processes at once
 * @param draining whether it takes no new work
 * @param startedMillis Unix time of its start in ms, 0 if unknown; an upstream may start again under the same id
 */
public record ListedUpstream(
        String id,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining,
        long startedMillis) {

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if the port or the number of slots is out of range
     */
    public ListedUpstream {
        Objects.requireNonNull(id);
        Objects.requireNonNull(service);
        Objects.requireNonNull(zone);
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
    }

    /**
     * Says whether another entry names the same start of the same upstream.
     *
     * @param other the other entry
     * @return true if all that an attempt depends on is equal
     */
    public boolean isSameStart(ListedUpstream other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && host.equals(other.host)
                && port == other.port
                && startedMillis == other.startedMillis;
    }
}
