package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.routes.ColdRule;
import org.citrontide.core.routes.EngineProfile;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.warmup.TurnOrder;

/** An event that a {@link GatewayDispatcher} handles. Immutable. */
public sealed interface GatewayEvent {

    /**
     * A request arrived and passed the filters.
     *
     * @param request the request
     */
    record RequestArrived(GatewayRequest request) implements GatewayEvent {}

    /**
     * The caller of a request disconnected.
     *
     * @param request number of the request
     */
    record CallerDisconnected(long request) implements GatewayEvent {}

    /**
     * Bytes of a response arrived.
     *
     * @param attempt number of the attempt
     * @param isResponseStarted whether the head of the response has been sent to the caller
     */
    record ResponseProgress(long attempt, boolean isResponseStarted) implements GatewayEvent {}

    /**
     * The head of a response arrived.
     *
     * @param attempt number of the attempt
     * @param limitPerSecond requests per second that the upstream takes from all gateways, empty if it names no limit
     */
    record HeadReceived(long attempt, OptionalDouble limitPerSecond) implements GatewayEvent {}

    /**
     * A response said for how long its upstream wants no more requests.
     *
     * @param upstream the upstream
     * @param duration time from the arrival of the response
     */
    record BackoffRequested(ListedUpstream upstream, Duration duration) implements GatewayEvent {}

    /**
     * A response said how long its upstream stays cold.
     *
     * @param upstream the upstream
     * @param remaining time for which it stays cold, 0 if it is warm
     */
    record ColdReported(ListedUpstream upstream, Duration remaining) implements GatewayEvent {}

    /**
     * The rate limits of cold upstreams changed.
     *
     * @param byService rule by service, without the services that have none
     */
    record ColdRulesUpdated(Map<String, ColdRule> byService) implements GatewayEvent {

        /** Copies the map. */
        public ColdRulesUpdated {
            byService = Map.copyOf(byService);
        }
    }

    /**
     * The performance of the engines changed.
     *
     * @param byService profile by service, without the services that have none
     */
    record EngineProfilesUpdated(Map<String, EngineProfile> byService) implements GatewayEvent {

        /** Copies the map. */
        public EngineProfilesUpdated {
            byService = Map.copyOf(byService);
        }
    }

    /**
     * The order changed in which the gateways take turns at cold upstreams.
     *
     * @param order the order
     */
    record TurnsUpdated(TurnOrder order) implements GatewayEvent {}

    /**
     * The times at which this gateway may send to upstreams with a rate limit changed.
     *
     * @param slots the slots of all gateways
     */
    record SlotsUpdated(SendSlots slots) implements GatewayEvent {}

    /**
     * The gateway stopped or resumed reading a response, because its caller reads more slowly than it arrives.
     *
     * @param attempt number of the attempt
     * @param isPaused whether the response is not read
     */
    record ReadingPaused(long attempt, boolean isPaused) implements GatewayEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt number of the attempt
     * @param outcome outcome of the attempt
     */
    record AttemptEnded(long attempt, AttemptOutcome outcome) implements GatewayEvent {}

    /**
     * The list of upstreams changed.
     *
     * @param upstreams all usable upstreams
     */
    record UpstreamsUpdated(List<ListedUpstream> upstreams) implements GatewayEvent {

        /** Copies the list. */
        public UpstreamsUpdated {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * An upstream reported its state.
     *
     * @param upstream identity of the upstream
     * @param slowness duration of its work relative to a healthy upstream, 1 or more
     * @param isGroupOpen whether its group has all members and serves requests
     */
    record ReportReceived(String upstream, double slowness, boolean isGroupOpen) implements GatewayEvent {}

    /**
     * The groups of the upstreams changed.
     *
     * @param groupByUpstream name of the group, unique among all services, by the identity of the upstream
     */
    record GroupsUpdated(Map<String, String> groupByUpstream) implements GatewayEvent {

        /** Copies the map. */
        public GroupsUpdated {
            groupByUpstream = Map.copyOf(groupByUpstream);
        }
    }

    /**
     * An upstream was checked for a crash.
     *
     * @param upstream the upstream
     * @param isRefused whether its host refused a connection; false if it was accepted or got no response
     */
    record UpstreamChecked(ListedUpstream upstream, boolean isRefused) implements GatewayEvent {}

    /**
     * The gateways' evidence on crashes changed.
     *
     * @param evidence observations of all gateways, including this one
     */
    record CrashEvidenceUpdated(List<CrashEvidence> evidence) implements GatewayEvent {

        /** Copies the list. */
        public CrashEvidenceUpdated {
            evidence = List.copyOf(evidence);
        }
    }

    /**
     * The set of evacuated zones changed.
     *
     * @param zones names of all zones whose upstreams get no requests
     */
    record EvacuatedZonesUpdated(Set<String> zones) implements GatewayEvent {

        /** Copies the set. */
        public EvacuatedZonesUpdated {
            zones = Set.copyOf(zones);
        }
    }

    /**
     * Zones were put back into service; their upstreams are cold. Precedes the {@link EvacuatedZonesUpdated} after
     * which they get requests.
     *
     * @param zones names of the zones
     */
    record ZonesReturned(Set<String> zones) implements GatewayEvent {

        /** Copies the set. */
        public ZonesReturned {
            zones = Set.copyOf(zones);
        }
    }

    /** The periodic timer fired. */
    record Tick() implements GatewayEvent {}
}
