package org.citrontide.gateway.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.citrontide.core.gateway.GatewayEvent;
import org.citrontide.core.gateway.SendSlots;
import org.citrontide.core.locality.EvacuationTracker;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.warmup.TurnOrder;

/**
 * Passes on to the dispatcher what the gateways and the operator share through the store.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class DispatchUpdates {
    private final Consumer<GatewayEvent> dispatcher;
    private final RequestLog log;
    private final GatewayMetrics metrics;
    private final EvacuationTracker evacuations = new EvacuationTracker();

    DispatchUpdates(Consumer<GatewayEvent> dispatcher, RequestLog log, GatewayMetrics metrics) {
        this.dispatcher = dispatcher;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Updates the groups of the upstreams.
     *
     * @param groupByUpstream name of the group, unique among all services, by the identity of the upstream
     */
    public void updateGroups(Map<String, String> groupByUpstream) {
        dispatcher.accept(new GatewayEvent.GroupsUpdated(groupByUpstream));
    }

    /**
     * Updates the evacuated zones, whose upstreams get no requests.
     *
     * @param zones names of all evacuated zones
     */
    public void updateEvacuatedZones(Set<String> zones) {
        EvacuationTracker.Change change = evacuations.replace(zones);
        if (change.isEmpty()) {
            return;
        }
        log.logEvacuations(change);
        metrics.recordEvacuatedZones(zones.size());
        if (!change.returned().isEmpty()) {
            dispatcher.accept(new GatewayEvent.ZonesReturned(change.returned()));
        }
        dispatcher.accept(new GatewayEvent.EvacuatedZonesUpdated(zones));
    }

    /**
     * Sets when this gateway may send to upstreams with a rate limit.
     *
     * @param slots the slots of all gateways
     */
    public void setSendSlots(SendSlots slots) {
        dispatcher.accept(new GatewayEvent.SlotsUpdated(slots));
    }

    /**
     * Sets the order in which the gateways take turns at cold upstreams.
     *
     * @param order the order
     */
    public void setTurnOrder(TurnOrder order) {
        dispatcher.accept(new GatewayEvent.TurnsUpdated(order));
    }

    /**
     * Updates the evidence of all gateways on crashes.
     *
     * @param evidence all observations
     */
    public void updateCrashEvidence(List<CrashEvidence> evidence) {
        dispatcher.accept(new GatewayEvent.CrashEvidenceUpdated(evidence));
    }
}
