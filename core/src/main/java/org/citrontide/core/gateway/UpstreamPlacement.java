package org.citrontide.core.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.citrontide.core.locality.LocalityPolicy;

/**
 * Places requests: narrows the upstreams of a service down to those that a request may be sent to, and selects one.
 *
 * <p>Every attempt, first or repeated, is placed here, so that a rule about where requests may go holds for all of
 * them. Not thread-safe: confined to the dispatcher's thread.
 */
final class UpstreamPlacement {
    private final UpstreamRegistry registry;
    private final LocalityPolicy locality;
    private final GroupHealth groupHealth;
    private final UpstreamSelector selector;

    UpstreamPlacement(
            UpstreamRegistry registry, LocalityPolicy locality, GroupHealth groupHealth, UpstreamSelector selector) {
        this.registry = registry;
        this.locality = locality;
        this.groupHealth = groupHealth;
        this.selector = selector;
    }

    /** Selects the upstream of the next attempt, or none if no upstream accepts the request now. */
    Optional<UpstreamState> select(OpenGatewayRequest open, long nowNanos) {
        List<UpstreamState> available =
                groupHealth.selectable(eligible(open), registry.ofService(open.request.service()), nowNanos);
        return selector.select(available, open.triedIds, nowNanos);
    }

    /** Returns when an upstream accepts the request, if only rate limits keep it from all of them. */
    OptionalLong nextOpenNanos(OpenGatewayRequest open, long nowNanos) {
        return selector.nextOpenNanos(eligible(open), open.triedIds, nowNanos);
    }

    /** Records that an attempt is sent to an upstream. */
    void recordSent(UpstreamState upstream, long nowNanos) {
        upstream.recordAttemptSent(selector.slots(), nowNanos);
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

    /** Returns whether the zones and regions of the upstreams leave a request none that accepts new requests. */
    boolean isExcluded(OpenGatewayRequest open) {
        List<UpstreamState> eligible = eligible(open);
        return eligible.size() < registry.ofService(open.request.service()).size()
                && eligible.stream().allMatch(u -> u.entry().isDraining());
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
