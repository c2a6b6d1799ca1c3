package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.TreeMap;

/**
 * The gateways that share limits with this one, from their registrations.
 *
 * <p>Handles registrations that lapse together while the store is away, although their gateways go on. Invariant: a
 * gateway is counted until its registration has been missing for {@link #HOLD}, so a share is never too large for long
 * because a gateway could not register in time. Not thread-safe.
 */
public final class GatewayRoster {
    /** Time after which a missing gateway is no longer counted; gateways register again within half of it. */
    public static final Duration HOLD = Duration.ofSeconds(60);

    private final String self;
    private final TreeMap<String, Long> lastSeenNanos = new TreeMap<>();

    /**
     * Creates a roster of this gateway alone.
     *
     * @param self name of this gateway's VM
     */
    public GatewayRoster(String self) {
        this.self = self;
    }

    /**
     * Records the registered gateways.
     *
     * @param names names of their VMs
     * @param nowNanos monotonic time in ns
     */
    public void update(Collection<String> names, long nowNanos) {
        names.forEach(n -> lastSeenNanos.put(n, nowNanos));
        lastSeenNanos.put(self, nowNanos);
        lastSeenNanos.values().removeIf(seen -> nowNanos - seen > HOLD.toNanos());
    }

    /**
     * Returns the number of gateways.
     *
     * @return number of gateways, including this one
     */
    public int count() {
        return Math.max(1, lastSeenNanos.size());
    }

    /**
     * Returns this gateway's place among all in the order of their names.
     *
     * @return index from 0
     */
    public int index() {
        return lastSeenNanos.headMap(self).size();
    }
}
