package org.citrontide.core.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Places requests: narrows the upstreams of a service down to those that a request may be sent to, and selects one.
 *
 * <p>Every attempt, first or repeated, is placed here, so that a rule about where requests may go holds for all of
 * them. Not thread-safe: confined to the dispatcher's thread.
 */
final class UpstreamPlacement {
    private final UpstreamRegistry registry;
    private final GroupHealth groupHealth;
    private final UpstreamSelector selector;

    UpstreamPlacement(UpstreamRegistry registry, GroupHealth groupHealth, UpstreamSelector selector) {
        this.registry = registry;
        this.groupHealth = groupHealth;
        this.selector = selector;
    }

    /** Selects the upstream of the next attempt, or none if no upstream accepts the request now. */
    Optional<UpstreamState> select(OpenGatewayRequest open, long nowNanos) {
        List<UpstreamState> available = groupHealth.selectable(eligible(open), nowNanos);
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

    /** Returns the upstreams that the request may be sent to, whether or not they accept it now. */
    private List<UpstreamState> eligible(OpenGatewayRequest open) {
        return registry.ofService(open.request.service());
    }
}
