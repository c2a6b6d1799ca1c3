package org.citrontide.core.costing;

import java.util.HashMap;
import java.util.Map;

import org.citrontide.core.routes.EngineProfile;

/**
 * Estimates the work of requests, and learns what they cost from the responses that ended.
 *
 * <p>Handles requests that look alike and differ widely in cost. The requests of services with an engine profile are
 * costed in passes, all others by their time at the upstream. Without samples, all requests of a plain service are
 * expected to cost the same, and streams are expected to be as long as announced. Not thread-safe: confined to the
 * dispatcher's thread; does no I/O and reads no clock.
 */
public final class WorkEstimator {
    // Mean time of the plain requests at the users' platform; before samples exist, only its ratio to itself matters.
    private static final double INITIAL_MS = 60;
    private static final double MILLIS_PER_SECOND = 1000;

    private final PlacementSettings settings;
    private final CostModel millisModel = new CostModel(INITIAL_MS);
    // Observed passes over the announced ones.
    private final CostModel lengthModel = new CostModel(1);
    private final Map<String, CostTotals> totalsByService = new HashMap<>();
    private final WorkEstimate uniform =
            new WorkEstimate.CountedRequests(new WorkEstimate.PlainServiceWork(millisModel.initial()));
    private Map<String, EngineProfile> engines = Map.of();

    /**
     * Creates an estimator without samples.
     *
     * @param settings which estimate is used
     */
    public WorkEstimator(PlacementSettings settings) {
        this.settings = settings;
    }

    /**
     * Replaces the engine profiles.
     *
     * @param byService profile by service, without the services that have none
     */
    public void setEngines(Map<String, EngineProfile> byService) {
        engines = Map.copyOf(byService);
    }

    /**
     * Returns whether requests are placed by their expected cost.
     *
     * @return false if all requests count alike
     */
    public boolean isEnabled() {
        return settings.rule() == PlacementSettings.Rule.EXPECTED_COST;
    }

    /**
     * Returns the estimate for placing a request.
     *
     * @param request the request
     * @return the estimate
     */
    public WorkEstimate estimate(CostedRequest request) {
        if (!isLearning()) {
            return uniform;
        }
        WorkEstimate expected = estimateCost(request);
        return isEnabled() ? expected : new WorkEstimate.CountedRequests(expected);
    }

    private WorkEstimate estimateCost(CostedRequest request) {
        EngineProfile engine = engines.get(request.service());
        if (engine == null) {
            return new WorkEstimate.PlainServiceWork(millisModel.find(request));
        }
        int tokens = request.completionTokens() > 0 ? request.completionTokens() : engine.meanCompletionTokens();
        double passes = Math.max(1, (double) tokens / Math.max(1, engine.stepsPerPass()));
        return new WorkEstimate.EngineWork(lengthModel.find(request), passes, promptPasses(engine, request));
    }

    /**
     * Records that the response of a request ended successfully.
     *
     * @param request the request
     * @param work its work
     * @param nowNanos monotonic time in ns
     */
    public void recordEnded(CostedRequest request, PendingWork work, long nowNanos) {
        if (!isLearning()) {
            return;
        }
        boolean isEngine = engines.containsKey(request.service());
        // Without events nothing is known about the passes that the response took.
        if (isEngine && work.events() == 0) {
            return;
        }
        (isEngine ? lengthModel : millisModel).record(request, work.sample(nowNanos), nowNanos);
        totals(request.service()).add(work.expected(), work.observed(nowNanos));
    }

    /**
     * Returns the time of a response as a measure of the speed of its upstream.
     *
     * <p>The mean of the last few responses of an upstream depends more on how large they happened to be than on its
     * speed. Relative to the expected cost, or to the number of events, it doesn't.
     *
     * @param request the request
     * @param work its work
     * @param nowNanos monotonic time in ns
     * @return time in ms of the response, or that of an average response or of one event
     */
    public double latencyMillis(CostedRequest request, PendingWork work, long nowNanos) {
        double millis = work.millis(nowNanos);
        if (!settings.isLatencyRelative()) {
            return millis;
        }
        if (engines.containsKey(request.service())) {
            return millis / (work.events() > 0 ? work.events() : Math.max(1, work.expected()));
        }
        return millis / work.expected() * INITIAL_MS;
    }

    /**
     * Returns the costs of the responses of a service since the last report.
     *
     * @param service name of the service
     * @return the totals
     */
    public CostTotals totals(String service) {
        return totalsByService.computeIfAbsent(service, s -> new CostTotals());
    }

    private boolean isLearning() {
        return isEnabled() || settings.isLatencyRelative();
    }

    /** Returns how many passes of one more stream take as long as reading the prompt. */
    private static double promptPasses(EngineProfile engine, CostedRequest request) {
        double passMs = engine.stepsPerPass() * engine.stepMsPerSequence();
        if (passMs <= 0 || engine.prefillTokensPerSecond() <= 0) {
            return 0;
        }
        return request.promptTokens() * MILLIS_PER_SECOND / engine.prefillTokensPerSecond() / passMs;
    }
}
