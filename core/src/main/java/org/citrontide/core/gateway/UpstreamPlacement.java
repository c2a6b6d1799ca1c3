package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.citrontide.core.costing.CostTotals;
import org.citrontide.core.costing.CostedRequest;
import org.citrontide.core.costing.PendingWork;
import org.citrontide.core.costing.PlacementReport;
import org.citrontide.core.costing.WorkEstimate;
import org.citrontide.core.costing.WorkEstimator;
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
    private final WorkEstimator workEstimator;
    private final List<GatewayAction> reports = new ArrayList<>();

    UpstreamPlacement(
            UpstreamRegistry registry,
            LocalityPolicy locality,
            GroupHealth groupHealth,
            UpstreamSelector selector,
            ColdUpstreams coldUpstreams,
            WorkEstimator workEstimator) {
        this.registry = registry;
        this.locality = locality;
        this.groupHealth = groupHealth;
        this.selector = selector;
        this.coldUpstreams = coldUpstreams;
        this.workEstimator = workEstimator;
    }

    /** Selects the upstream of the next attempt, or none if no upstream accepts the request now. */
    Optional<UpstreamState> select(OpenGatewayRequest open, long nowNanos) {
        List<UpstreamState> all = registry.ofService(open.request.service());
        List<UpstreamState> available = withTurn(open, groupHealth.selectable(eligible(open), all, nowNanos), nowNanos);
        return selector.select(available, open.triedIds, workEstimator.estimate(costed(open)), nowNanos);
    }

    /** Returns when an upstream accepts the request, if only rate limits and backoffs keep it from all of them. */
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

    /** Returns when the first upstream takes requests again, if all of them have asked to be left alone. */
    OptionalLong backoffEndNanos(OpenGatewayRequest open, long nowNanos) {
        List<UpstreamState> listed =
                eligible(open).stream().filter(u -> !u.entry().isDraining()).toList();
        return listed.stream().allMatch(u -> u.isBackedOff(nowNanos))
                ? listed.stream().mapToLong(u -> u.backoffEndNanos(nowNanos)).min()
                : OptionalLong.empty();
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

    /** Records that the attempt of a request is sent. */
    void recordSent(OpenGatewayRequest open, long nowNanos) {
        OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
        WorkEstimate estimate = workEstimator.estimate(costed(open));
        if (workEstimator.isEnabled()) {
            tryReport(open, attempt.upstream, estimate, nowNanos);
        }
        PendingWork work = estimate.start(nowNanos);
        work.setEarlierEvents(open.work.map(PendingWork::events).orElse(0));
        open.work = Optional.of(work);
        attempt.upstream.recordAttemptSent(work, selector.slots(), nowNanos);
        coldUpstreams.recordSent(attempt.upstream.entry(), nowNanos);
    }

    /** Records that bytes of the response of a request arrived. */
    void recordProgress(OpenGatewayRequest open, long nowNanos) {
        open.attempt.orElseThrow().upstream.recordProgress(nowNanos);
        if (open.isResponseStarted) {
            open.work.orElseThrow().recordEvent();
        }
    }

    /** Records that the given attempt of a request is no longer in flight. */
    void recordEnded(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt) {
        attempt.upstream.recordAttemptEnded(open.work.orElseThrow(), attempt.isStarted);
    }

    /** Records the outcome of an attempt, and what the request has cost if it was answered. */
    void recordOutcome(
            OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt, AttemptOutcome outcome, long nowNanos) {
        PendingWork work = open.work.orElseThrow();
        double millis = workEstimator.latencyMillis(costed(open), work, nowNanos);
        attempt.upstream.recordOutcome(outcome, millis, nowNanos);
        if (outcome instanceof AttemptOutcome.Completed c && c.isSuccess()) {
            workEstimator.recordEnded(costed(open), work, nowNanos);
        }
    }

    /** Returns the reports on placements since the last call. */
    List<GatewayAction> pollReports() {
        List<GatewayAction> polled = List.copyOf(reports);
        reports.clear();
        return polled;
    }

    /** Reports a placement, before it is recorded, unless one of the service was reported recently. */
    private void tryReport(OpenGatewayRequest open, UpstreamState chosen, WorkEstimate estimate, long nowNanos) {
        String service = open.request.service();
        CostTotals totals = workEstimator.totals(service);
        if (!totals.isReportDue(nowNanos)) {
            return;
        }
        List<UpstreamState> all = registry.ofService(service);
        UpstreamState least = eligible(open).stream()
                .filter(u -> u.isAccepting(nowNanos))
                .min(Comparator.comparingInt(UpstreamState::inFlight))
                .orElse(chosen);
        reports.add(new GatewayAction.ReportPlacement(new PlacementReport(
                service,
                open.request.route().name(),
                chosen.entry().id(),
                estimate.start(nowNanos).expected(),
                chosen.inFlight(),
                estimate.loadWith(chosen.work(), nowNanos),
                least.entry().id(),
                estimate.loadWith(least.work(), nowNanos),
                all.stream().mapToDouble(u -> u.work().left(nowNanos)).sum(),
                estimate.distribution().samples(),
                Duration.ofNanos(estimate.distribution().ageNanos(nowNanos)).toMillis(),
                totals.responses(),
                totals.expected(),
                totals.observed())));
        totals.recordReport(nowNanos);
    }

    private static CostedRequest costed(OpenGatewayRequest open) {
        GatewayRequest r = open.request;
        return new CostedRequest(r.service(), r.route().name(), r.team(), r.promptTokens(), r.completionTokens());
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
