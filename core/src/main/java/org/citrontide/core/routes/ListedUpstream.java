package org.citrontide.core.routes;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An entry of the platform's upstream list. Immutable.
 *
 * @param id identity of the upstream
 * @param service name of its service
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it processes concurrently
 * @param isDraining whether it is draining and accepts no new requests
 * @param startedMillis Unix time of its start in ms, 0 if unknown; an upstream may restart under the same id
 * @param coldRemaining how long the upstream stays cold as of the entry, 0 if warm, empty if the entry doesn't say
 * @param receivedNanos monotonic time in ns at which the entry was received, 0 if it is not recorded
 */
public record ListedUpstream(
        String id,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean isDraining,
        long startedMillis,
        Optional<Duration> coldRemaining,
        long receivedNanos) {

    /**
     * Validates the entry.
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
     * Creates an entry that doesn't say whether the upstream is cold.
     *
     * @param id identity of the upstream
     * @param service name of its service
     * @param host IP address
     * @param port TCP port
     * @param zone availability zone
     * @param slots requests that it processes concurrently
     * @param isDraining whether it is draining and accepts no new requests
     * @param startedMillis Unix time of its start in ms, 0 if unknown
     */
    public ListedUpstream(
            String id,
            String service,
            String host,
            int port,
            String zone,
            int slots,
            boolean isDraining,
            long startedMillis) {
        this(id, service, host, port, zone, slots, isDraining, startedMillis, Optional.empty(), 0);
    }

    /**
     * Returns a key that no other instance has: not the upstream after a restart, nor a later one at its address.
     *
     * @return identity, address and start time
     */
    public String instanceKey() {
        return id + '@' + host + ':' + port + '#' + startedMillis;
    }

    /**
     * Returns whether another entry refers to the same instance of the same upstream.
     *
     * @param other the other entry
     * @return true if everything that an attempt depends on is equal
     */
    public boolean isSameInstance(ListedUpstream other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && host.equals(other.host)
                && port == other.port
                && startedMillis == other.startedMillis;
    }
}
