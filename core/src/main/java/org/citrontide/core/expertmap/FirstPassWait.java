package org.citrontide.core.expertmap;

/**
 * Waits for the first pass under the map of the last change.
 *
 * <p>Handles ranks that refuse to prepare another map until then, and an order to hold that pass that is carried out
 * after the order to release it: the latter is sent again. Invariant: a group that starts no pass for long, because it
 * is idle, is waited for a bounded number of times. Not thread-safe.
 */
final class FirstPassWait {
    // An idle group starts no pass for a long time: after this many waits the usual sample interval applies again.
    private static final int MAX_WAITS = 8;

    private long step;
    private String holder = "";
    private int waits;

    /** Starts to wait for the pass of a change whose map is in force. */
    void start(GroupMapChange c) {
        step = c.holdStep();
        holder = c.holder();
        waits = 0;
    }

    /** Ends the wait. */
    void clear() {
        step = 0;
    }

    /** Returns whether the pass has started. */
    boolean isOver(PassEstimator passEstimator) {
        return passEstimator.lastStep() >= step;
    }

    /** Schedules the next sample for the time at which the pass is expected. */
    void scheduleSample(DemandSampler sampler, PassEstimator passEstimator, EventContext context) {
        sampler.scheduleAtStep(step, passEstimator, context.nowNanos());
    }

    /** Handles a sample that shows that the pass has not started. */
    void handleSample(DemandSampler sampler, PassEstimator passEstimator, int epoch, EventContext context) {
        waits++;
        if (waits > MAX_WAITS) {
            return;
        }
        scheduleSample(sampler, passEstimator, context);
        if (waits > 1) {
            context.add(new MapAction.SendOrder(holder, epoch, new RankOrder.Go(step)));
        }
    }
}
