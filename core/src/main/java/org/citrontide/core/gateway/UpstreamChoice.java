package org.citrontide.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream of one attempt: the one with the least cost, ties at random.
 *
 * <p>The load that it answers: even load on all members of a group, since a pass lasts as long as its most loaded
 * member, and little load on upstreams that are slow or fail. An upstream of another availability zone costs a little
 * more, so that equal ones are taken nearby. Not thread-safe; its randomness is passed in.
 */
public final class UpstreamChoice {
    // Covers the round trip to another zone without unbalancing a group.
    private static final double OTHER_ZONE_COST = 1.02;

    private final String zone;
    private final RandomGenerator random;

    /**
     * Makes a choice policy.
     *
     * @param zone the gateway's own availability zone
     * @param random source of ties
     */
    public UpstreamChoice(String zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses among the upstreams of a service.
     *
     * @param all upstreams of the service
     * @param tried identities of those that already had an attempt of this request
     * @param nowNanos monotonic time in ns
     * @return the choice, or empty if none takes work
     */
    public Optional<UpstreamState> choose(List<UpstreamState> all, Set<String> tried, long nowNanos) {
        List<UpstreamState> best = new ArrayList<>();
        double least = Double.POSITIVE_INFINITY;
        double typical = all.stream()
                .mapToDouble(UpstreamState::latencyMs)
                .filter(Double::isFinite)
                .min()
                .orElse(0);
        for (UpstreamState u : all) {
            if (!u.isAccepting(nowNanos) || tried.contains(u.listed().id())) {
                continue;
            }
            double distance = u.listed().zone().equals(zone) ? 1 : OTHER_ZONE_COST;
            double cost = u.cost(typical, nowNanos) * distance;
            if (cost < least) {
                best.clear();
                least = cost;
            }
            if (cost == least) {
                best.add(u);
            }
        }
        return best.isEmpty() ? Optional.empty() : Optional.of(best.get(random.nextInt(best.size())));
    }
}
