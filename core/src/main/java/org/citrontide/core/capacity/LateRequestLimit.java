package org.citrontide.core.capacity;

import java.time.Duration;
import java.util.Map;

/**
 * Decides how many late requests of one gateway may wait for their first event after an outage of a group.
 *
 * <p>Handles the backlog of an outage of several seconds: hundreds of requests that can only be answered late, while
 * new requests that can still be on time arrive. The late requests of all gateways together may use a fixed share of
 * the slots of a service until their first event. A gateway's part of that share is seldom a whole number: gateways
 * take turns in having one more, so that the fraction is used up in time and at any moment.
 *
 * <p>A late request occupies its slot long after its first event. A gateway exceeds {@link #DEFAULT_LIMIT} only while
 * its own requests use less than a part of its slots, so that late requests don't take those of the requests after the
 * outage.
 *
 * <p>Invariant: a gateway may always send one late request. Not thread-safe.
 */
public final class LateRequestLimit {
    /** Limit of a gateway that knows neither the slots nor the other gateways. */
    static final int DEFAULT_LIMIT = 2;

    // 2 requests of each of 8 gateways on 128 slots leave most requests after an outage on time.
    private static final double SLOT_SHARE = 1.0 / 8;
    // Fraction of a gateway's slots up to which it sends more than the default number of late requests. Above it, late
    // requests delay others: at 0.75 of 504 slots 7% of the requests after an outage lost their time, at 0.6 2%.
    private static final double MAX_USED_FRACTION = 0.6;
    // A late request has its first event after about this time.
    private static final Duration TURN = Duration.ofMillis(200);
    // Fraction by which the turns advance: multiples of it are spread evenly over the gateways.
    private static final double TURN_ADVANCE = 0.6180339887498949;

    private Map<String, Integer> slotsByService = Map.of();
    private int index;
    private int gateways;
    private long epochNanos;

    /**
     * Sets the capacity of the services.
     *
     * @param slots sum of the slots of all upstreams by service
     */
    public void setSlots(Map<String, Integer> slots) {
        slotsByService = Map.copyOf(slots);
    }

    /**
     * Sets this gateway's place among all gateways.
     *
     * @param newIndex place of this gateway, from 0
     * @param count number of gateways
     * @param newEpochNanos a monotonic time of this process in ns at the same moment for all gateways
     */
    public void setGateways(int newIndex, int count, long newEpochNanos) {
        index = newIndex;
        gateways = count;
        epochNanos = newEpochNanos;
    }

    /**
     * Returns the share of this gateway.
     *
     * @param service name of the service
     * @return mean number of late requests without a first event
     */
    public double share(String service) {
        int slots = slotsByService.getOrDefault(service, 0);
        return gateways == 0 || slots == 0 ? DEFAULT_LIMIT : Math.max(1, slots * SLOT_SHARE / gateways);
    }

    /**
     * Returns how many late requests may be without a first event now.
     *
     * @param service name of the service
     * @param inFlight this gateway's attempts in flight at the service
     * @param nowNanos monotonic time in ns
     * @return maximum number, 1 or more
     */
    public int limit(String service, int inFlight, long nowNanos) {
        double share = share(service);
        double ownSlots = (double) slotsByService.getOrDefault(service, 0) / Math.max(1, gateways);
        if (share > DEFAULT_LIMIT && inFlight >= MAX_USED_FRACTION * ownSlots) {
            return DEFAULT_LIMIT;
        }
        int whole = (int) share;
        return whole + (turnPosition(nowNanos) < share - whole ? 1 : 0);
    }

    /** Returns this gateway's place in the present turn, in [0, 1); at any moment the places of all are equidistant. */
    private double turnPosition(long nowNanos) {
        long turn = Math.floorDiv(nowNanos - epochNanos, TURN.toNanos());
        double position = (double) index / Math.max(1, gateways) + turn * TURN_ADVANCE;
        return position - Math.floor(position);
    }
}
