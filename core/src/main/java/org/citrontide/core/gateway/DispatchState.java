package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.citrontide.core.capacity.LateRequestLimit;
import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.costing.WorkEstimator;
import org.citrontide.core.locality.LocalityPolicy;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.warmup.ColdSettings;
import org.citrontide.core.warmup.ColdUpstreams;

/** What a {@link GatewayDispatcher} keeps between events. Not thread-safe: confined to the dispatcher's thread. */
final class DispatchState {
    final UpstreamRegistry registry = new UpstreamRegistry();
    final GroupHealth groupHealth = new GroupHealth();
    final ColdUpstreams coldUpstreams;
    final WorkEstimator workEstimator;
    final UpstreamPlacement placement;
    final RetryAfterPolicy retryAfterPolicy;
    final LateRequestLimit lateRequestLimit = new LateRequestLimit();
    final ServiceStates services;
    final SpeedMonitor speedMonitor = new SpeedMonitor();
    final CrashGuard crashGuard = new CrashGuard();
    final Map<Long, OpenGatewayRequest> openById = new HashMap<>();
    final Map<Long, OpenGatewayRequest> byAttempt = new HashMap<>();
    final TreeSet<GatewayRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(GatewayRequest::deadlineNanos).thenComparingLong(GatewayRequest::id));
    long nextAttemptNumber = 1;

    DispatchState(
            String zone,
            LocalityPolicy locality,
            Supplier<GatewayRetryBudget> retryBudgetFactory,
            RandomGenerator random,
            ColdSettings coldSettings,
            PlacementSettings placementSettings) {
        this.coldUpstreams = new ColdUpstreams(coldSettings, random);
        this.workEstimator = new WorkEstimator(placementSettings);
        this.placement = new UpstreamPlacement(
                registry, locality, groupHealth, new UpstreamSelector(zone, random), coldUpstreams, workEstimator);
        this.retryAfterPolicy = new RetryAfterPolicy(random);
        this.services = new ServiceStates(retryBudgetFactory, lateRequestLimit, registry::inFlight);
    }

    void replaceUpstreams(List<ListedUpstream> upstreams, long nowNanos) {
        registry.replaceAll(upstreams, nowNanos);
        Map<String, Integer> slots = new HashMap<>();
        upstreams.forEach(u -> slots.merge(u.service(), u.slots(), Integer::sum));
        lateRequestLimit.setSlots(slots);
    }

    void setSlots(SendSlots slots) {
        placement.setSlots(slots);
        lateRequestLimit.setGateways(slots.index(), slots.count(), slots.epochNanos());
    }

    /** Returns the time after which a refused caller can be served, as far as that is known. */
    Duration retryAfter(OpenGatewayRequest open, Reason reason, long nowNanos) {
        OptionalLong backoffEnd = placement.backoffEndNanos(open, nowNanos);
        if (backoffEnd.isPresent()) {
            return retryAfterPolicy.retryAfterTurn(backoffEnd.getAsLong(), open.request, nowNanos);
        }
        OptionalLong promise =
                reason == Reason.NO_UPSTREAM ? services.of(open).queue.promiseNanos(nowNanos) : OptionalLong.empty();
        return promise.isPresent()
                ? retryAfterPolicy.retryAt(promise.getAsLong(), open.request, nowNanos)
                : retryAfterPolicy.retryAfter(reason, open.request, nowNanos);
    }
}
