package org.citrontide.core.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.locality.LocalityPolicy;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.core.warmup.ColdSettings;

/**
 * Dispatches the requests of one gateway to upstreams and decides the final outcome of each.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each request ends in exactly one of {@link GatewayAction.DeliverResponse}, {@link GatewayAction.RefuseRequest}
 *       and {@link GatewayAction.AbortResponse}, unless its caller disconnected; no later action refers to it.
 *   <li>A request ends in {@link Verdict.NotRun} only if each of its attempts certainly did not run.
 *   <li>A request that must run at most once gets another attempt only if all earlier ones certainly did not run.
 *   <li>A response that has started ends as complete only with an attempt that continued it successfully.
 *   <li>A request reaches at most as many upstreams as its route allows, and retries stay within the retry budget.
 *   <li>No attempt is sent to an upstream of an evacuated zone, or of a region that the route or the team excludes.
 *   <li>No attempt is sent for a prompt with a quarantined part, nor a second one for a prompt that may have crashed an
 *       upstream and has a part that no upstream is known to have answered.
 * </ul>
 *
 * <p>Not thread-safe: confined to one thread. Does no I/O and reads no clock; the source of randomness is passed in.
 */
public final class GatewayDispatcher {
    private final DispatchState state;

    /**
     * Creates a dispatcher without upstreams.
     *
     * @param zone the gateway's availability zone
     * @param retryBudgetFactory factory of the retry budget of each service
     * @param random source of randomness for upstream selection and for the jitter of retry delays
     */
    public GatewayDispatcher(String zone, Supplier<GatewayRetryBudget> retryBudgetFactory, RandomGenerator random) {
        this(zone, Map.of(), retryBudgetFactory, random, ColdSettings.STRICT, PlacementSettings.COUNTED);
    }

    /**
     * Creates a dispatcher without upstreams.
     *
     * @param zone the gateway's availability zone
     * @param regionByZone region of each zone whose region is known
     * @param retryBudgetFactory factory of the retry budget of each service
     * @param random source of randomness for upstream selection and for the jitter of retry delays
     * @param coldSettings excess that is allowed over the rates of cold upstreams
     */
    public GatewayDispatcher(
            String zone,
            Map<String, String> regionByZone,
            Supplier<GatewayRetryBudget> retryBudgetFactory,
            RandomGenerator random,
            ColdSettings coldSettings) {
        this(zone, regionByZone, retryBudgetFactory, random, coldSettings, PlacementSettings.COUNTED);
    }

    /**
     * Creates a dispatcher without upstreams.
     *
     * @param zone the gateway's availability zone
     * @param regionByZone region of each zone whose region is known
     * @param retryBudgetFactory factory of the retry budget of each service
     * @param random source of randomness for upstream selection and for the jitter of retry delays
     * @param coldSettings excess that is allowed over the rates of cold upstreams
     * @param placementSettings how the load of upstreams is estimated
     */
    public GatewayDispatcher(
            String zone,
            Map<String, String> regionByZone,
            Supplier<GatewayRetryBudget> retryBudgetFactory,
            RandomGenerator random,
            ColdSettings coldSettings,
            PlacementSettings placementSettings) {
        this.state = new DispatchState(
                zone, new LocalityPolicy(regionByZone), retryBudgetFactory, random, coldSettings, placementSettings);
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return actions for the shell to perform, in order
     */
    public List<GatewayAction> handle(GatewayEvent event, long nowNanos) {
        DispatchHandler handler = new DispatchHandler(state, nowNanos);
        switch (event) {
            case GatewayEvent.RequestArrived a -> handler.handleRequestArrived(a.request());
            case GatewayEvent.CallerDisconnected d ->
                Optional.ofNullable(state.openById.get(d.request())).ifPresent(handler::close);
            case GatewayEvent.ResponseProgress p -> handler.handleResponseProgress(p);
            case GatewayEvent.ReadingPaused p ->
                Optional.ofNullable(state.byAttempt.get(p.attempt()))
                        .ifPresent(open -> open.attempt.orElseThrow().setPaused(p.isPaused(), nowNanos));
            case GatewayEvent.AttemptEnded e -> handler.handleAttemptEnded(e);
            case GatewayEvent.UpstreamsUpdated u -> handler.handleUpstreams(u.upstreams());
            case GatewayEvent.ReportReceived r ->
                state.registry.find(r.upstream()).ifPresent(u -> handler.handleReport(u, r));
            case GatewayEvent.GroupsUpdated g -> state.groupHealth.setGroups(g.groupByUpstream());
            case GatewayEvent.HeadReceived h -> handler.handleHeadReceived(h);
            case GatewayEvent.BackoffRequested b -> handler.handleBackoff(b);
            case GatewayEvent.ColdReported c ->
                state.coldUpstreams.recordResponse(c.upstream(), c.remaining(), nowNanos);
            case GatewayEvent.ColdRulesUpdated u -> state.coldUpstreams.setRules(u.byService(), nowNanos);
            case GatewayEvent.EngineProfilesUpdated u -> state.workEstimator.setEngines(u.byService());
            case GatewayEvent.TurnsUpdated u -> state.coldUpstreams.setOrder(u.order(), nowNanos);
            case GatewayEvent.ZonesReturned z -> state.coldUpstreams.recordReturn(z.zones(), nowNanos);
            case GatewayEvent.SlotsUpdated u -> state.setSlots(u.slots());
            case GatewayEvent.UpstreamChecked c -> handler.handleUpstreamChecked(c);
            case GatewayEvent.CrashEvidenceUpdated c -> handler.handleCrashEvidence(c);
            case GatewayEvent.EvacuatedZonesUpdated e -> handler.handleEvacuatedZones(e.zones());
            case GatewayEvent.Tick t -> handler.tick();
        }
        return handler.actions();
    }

    /**
     * Returns the number of requests without a final outcome.
     *
     * @return number of open requests
     */
    public int openRequests() {
        return state.openById.size();
    }

    /**
     * Returns the retry budgets.
     *
     * @param nowNanos monotonic time in ns
     * @return state of the budget by service
     */
    public Map<String, RetryBudgetState> retryBudgets(long nowNanos) {
        return state.services.retryBudgets(nowNanos);
    }
}
