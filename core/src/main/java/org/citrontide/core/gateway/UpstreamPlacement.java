package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.citrontide.core.locality.LocalityPolicy;
import org.citrontide.core.warmup.ColdUpstreams;

/**
 * Places requests: narrows the upstreams of a service down to those that a request may be sent to, and selects one.
 *
 * <p>Every attempt, first or repeated, is placed here, so that a rule about where requests may go holds for all of
 * them. Not thread-safe: confined to the dispatcher's thread.
 */
final class UpstreamPlacement {
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final UpstreamRegistry registry;
    private final LocalityPolicy locality;
    private final GroupHealth groupHealth;
    private final UpstreamSelector selector;
    private final ColdUpstreams coldUpstreams;

    UpstreamPlacement(
            UpstreamRegistry registry,
            LocalityPolicy locality,
            GroupHealth groupHealth,
            UpstreamSelector selector,
            ColdUpstreams coldUpstreams) {
        this.registry = registry;
        this.locality = locality;
        this.groupHealth = groupHealth;
        this.selector = selector;
        this.coldUpstreams = coldUpstreams;
    }

    /** Selects the upstream of the next attempt, or none if no upstream accepts the request now. */
    Optional<UpstreamState> select(OpenGatewayRequest open, long nowNanos) {
        List<UpstreamState> all = registry.ofService(open.request.service());
        List<UpstreamState> available = withTurn(open, groupHealth.selectable(eligible(open), all, nowNanos), nowNanos);
        return selector.select(available, open.triedIds, nowNanos);
    }

    /** Returns when an upstream accepts the request, if only rate limits keep it from all of them. */
    OptionalLong nextOpenNanos(OpenGatewayRequest open, long nowNanos) {
        if (!isHeldBack(open, nowNanos)) {
            return selector.nextOpenNanos(eligible(open), open.triedIds, nowNanos);
        }
        return eligible(open).stream()
                .filter(u -> !u.entry().isDraining()
                        && !open.triedIds.contains(u.entry().id()))
                .mapToLong(u -> Math.max(
                        u.nextOpenNanos(selector.slots(), nowNanos), coldUpstreams.nextOpenNanos(u.entry(), nowNanos)))
                .min();
    }

    /** Returns whether an upstream would accept the request if it were not cold. */
    boolean isHeldBack(OpenGatewayRequest open, long nowNanos) {
        return coldUpstreams.mayLimit()
                && coldUpstreams.hasRule(open.request.service())
                && eligible(open).stream()
                        .anyMatch(u -> u.isAccepting(nowNanos)
                                && !open.triedIds.contains(u.entry().id())
                                && coldUpstreams.nextOpenNanos(u.entry(), nowNanos) > nowNanos);
    }

    /** Returns for how long the requests that already wait take up the turns of this gateway at cold upstreams. */
    long queueDelayNanos(OpenGatewayRequest open, int waiting, long nowNanos) {
        double perSecond = eligible(open).stream()
                .filter(u -> u.isAccepting(nowNanos))
                .mapToDouble(u -> coldUpstreams.ratePerSecond(u.entry(), nowNanos))
                .sum();
        return (long) (waiting / perSecond * NANOS_PER_SECOND);
    }

    /** Records that an attempt is sent to an upstream. */
    void recordSent(UpstreamState upstream, long nowNanos) {
        upstream.recordAttemptSent(selector.slots(), nowNanos);
        coldUpstreams.recordSent(upstream.entry(), nowNanos);
    }

    void setSlots(SendSlots slots) {
        selector.setSlots(slots);
    }

    void setEvacuatedZones(Set<String> zones) {
        locality.setEvacuatedZones(zones);
    }

    boolean isInEvacuatedZone(UpstreamState upstream) {
        return locality.isEvacuated(upstream.entry().zone());
    }

    boolean isAnyZoneEvacuated() {
        return locality.isAnyZoneEvacuated();
    }

    /** Returns whether the zones and regions of the upstreams leave a request none that accepts new requests. */
    boolean isExcluded(OpenGatewayRequest open) {
        List<UpstreamState> eligible = eligible(open);
        return eligible.size() < registry.ofService(open.request.service()).size()
                && eligible.stream().allMatch(u -> u.entry().isDraining());
    }

    /** Returns the upstreams without those whose cold status keeps a request from them now. */
    private List<UpstreamState> withTurn(OpenGatewayRequest open, List<UpstreamState> upstreams, long nowNanos) {
        if (!coldUpstreams.mayLimit() || !coldUpstreams.hasRule(open.request.service())) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(u -> coldUpstreams.nextOpenNanos(u.entry(), nowNanos) <= nowNanos)
                .toList();
    }

    /** Returns the upstreams that the request may be sent to, whether or not they accept it now. */
    List<UpstreamState> eligible(OpenGatewayRequest open) {
        List<UpstreamState> all = registry.ofService(open.request.service());
        Set<String> routeRegions = open.request.route().allowedRegions();
        Set<String> teamRegions = open.request.teamRegions();
        if (locality.admitsAllZones(routeRegions, teamRegions)) {
            return all;
        }
        return all.stream()
                .filter(u -> locality.admits(u.entry().zone(), routeRegions, teamRegions))
                .toList();
    }
}
