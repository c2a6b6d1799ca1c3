package org.citrontide.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.citrontide.core.costing.WorkEstimate;

/**
 * Selects the upstream of an attempt: the one with the lowest cost, with random tie-breaking.
 *
 * <p>Spreads the load evenly over the members of a group, because a pass takes as long as on its most loaded member,
 * and sends little load to slow or failing upstreams. An upstream in another availability zone costs slightly more,
 * so that a nearby one is preferred among equal ones. Not thread-safe; the source of randomness is passed in.
 */
public final class UpstreamSelector {
    // Covers the round trip to another zone, and is small enough to keep the load of a group balanced.
    private static final double CROSS_ZONE_COST_FACTOR = 1.02;

    private final String zone;
    private final RandomGenerator random;
    private SendSlots slots = SendSlots.UNKNOWN;

    /**
     * Creates a selector.
     *
     * @param zone the gateway's own availability zone
     * @param random source of randomness for tie-breaking
     */
    public UpstreamSelector(String zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Selects one of the upstreams of a service.
     *
     * @param upstreams upstreams of the service
     * @param triedIds identities of the upstreams that this request was already sent to
     * @param estimate estimates the load of an upstream that gets the request
     * @param nowNanos monotonic time in ns
     * @return the selected upstream, or empty if none accepts requests
     */
    public Optional<UpstreamState> select(
            List<UpstreamState> upstreams, Set<String> triedIds, WorkEstimate estimate, long nowNanos) {
        List<UpstreamState> candidates = new ArrayList<>();
        double lowestCost = Double.POSITIVE_INFINITY;
        double baselineLatencyMs = lowestLatencyMs(upstreams);
        for (UpstreamState u : upstreams) {
            if (!u.isOpen(slots, nowNanos) || triedIds.contains(u.entry().id())) {
                continue;
            }
            double zoneFactor = u.entry().zone().equals(zone) ? 1 : CROSS_ZONE_COST_FACTOR;
            double cost = u.cost(estimate, baselineLatencyMs, nowNanos) * zoneFactor;
            if (cost < lowestCost) {
                candidates.clear();
                lowestCost = cost;
            }
            if (cost == lowestCost) {
                candidates.add(u);
            }
        }
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private static double lowestLatencyMs(List<UpstreamState> upstreams) {
        double lowest = Double.POSITIVE_INFINITY;
        for (UpstreamState u : upstreams) {
            double latencyMs = u.latencyMs();
            if (latencyMs < lowest) {
                lowest = latencyMs;
            }
        }
        return Double.isFinite(lowest) ? lowest : 0;
    }

    /**
     * Returns when an upstream accepts the next request, if rate limits or backoffs are the reason why none does now.
     *
     * @param upstreams upstreams of the service
     * @param triedIds identities of the upstreams that this request was already sent to
     * @param nowNanos monotonic time in ns
     * @return the earliest time in ns, or empty if none is kept from requests by its rate limit or its backoff alone
     */
    public OptionalLong nextOpenNanos(List<UpstreamState> upstreams, Set<String> triedIds, long nowNanos) {
        List<UpstreamState> untried = upstreams.stream()
                .filter(u ->
                        !u.entry().isDraining() && !triedIds.contains(u.entry().id()))
                .toList();
        if (untried.stream().noneMatch(u -> u.isRateLimited(slots, nowNanos) || u.isBackedOff(nowNanos))) {
            return OptionalLong.empty();
        }
        return untried.stream().mapToLong(u -> u.nextOpenNanos(slots, nowNanos)).min();
    }

    void setSlots(SendSlots newSlots) {
        slots = newSlots;
    }

    SendSlots slots() {
        return slots;
    }
}
