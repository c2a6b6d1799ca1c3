package org.citrontide.core.costing;

/**
 * The load of an upstream that gets one more request, as the estimate that its cost is based on.
 *
 * <p>Loads are only compared with each other for one request; their unit depends on the estimate. Created for each
 * decision, immutable.
 */
public sealed interface WorkEstimate {

    /**
     * Returns the load of an upstream including the request.
     *
     * @param work work that this gateway has in flight there
     * @param nowNanos monotonic time in ns
     * @return the load, positive
     */
    double loadWith(UpstreamWork work, long nowNanos);

    /**
     * Returns the costs of requests like this one.
     *
     * @return distribution of costs in the unit of the estimate
     */
    CostDistribution distribution();

    /**
     * Creates the work of the request when it is sent.
     *
     * @param nowNanos monotonic time in ns
     * @return the work
     */
    PendingWork start(long nowNanos);

    /**
     * All requests count alike.
     *
     * @param cost estimate from which the work is still recorded, so that the requests' costs are learned
     */
    record CountedRequests(WorkEstimate cost) implements WorkEstimate {
        @Override
        public double loadWith(UpstreamWork work, long nowNanos) {
            return work.count() + 1.0;
        }

        @Override
        public CostDistribution distribution() {
            return cost.distribution();
        }

        @Override
        public PendingWork start(long nowNanos) {
            return cost.start(nowNanos);
        }
    }

    /**
     * The time in ms for which requests will occupy the slots of a plain service.
     *
     * @param distribution times of the requests like this one
     */
    record PlainServiceWork(CostDistribution distribution) implements WorkEstimate {
        @Override
        public double loadWith(UpstreamWork work, long nowNanos) {
            return work.left(nowNanos) + distribution.mean();
        }

        @Override
        public PendingWork start(long nowNanos) {
            return PendingWork.plain(distribution, nowNanos);
        }
    }

    /**
     * The streams that run on the rank of a group while the request runs there, with the prompts to be read as streams.
     *
     * <p>A pass lasts as long as on its most loaded rank. Two long prompts in the same pass of one rank make it longer
     * than the target gap, for all streams of the group.
     *
     * @param distribution ratios of the observed to the announced passes
     * @param announcedPasses passes that the request takes as announced, 1 or more
     * @param promptPasses work for the prompt, in passes of one stream
     */
    record EngineWork(CostDistribution distribution, double announcedPasses, double promptPasses)
            implements WorkEstimate {
        // The streams that run now lengthen the next pass however little is left of them. 0.2 and 0.8 were no better in
        // the simulation.
        private static final double COUNTED_SHARE = 0.5;

        @Override
        public double loadWith(UpstreamWork work, long nowNanos) {
            double passes = Math.max(1, distribution.mean() * announcedPasses);
            return work.streams(passes, COUNTED_SHARE, nowNanos) + 1 + promptPasses;
        }

        @Override
        public PendingWork start(long nowNanos) {
            return PendingWork.engine(distribution, announcedPasses, promptPasses, nowNanos);
        }
    }
}
