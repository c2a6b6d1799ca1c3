package org.citrontide.core.costing;

import java.util.ArrayList;
import java.util.List;

/**
 * The work that one gateway has sent to an upstream and not seen end.
 *
 * <p>Bounded by the requests in flight. Not thread-safe: confined to the dispatcher's thread.
 */
public final class UpstreamWork {
    private final List<PendingWork> pending = new ArrayList<>();

    /**
     * Records that an attempt was sent.
     *
     * @param work work of the attempt
     */
    public void add(PendingWork work) {
        pending.add(work);
    }

    /**
     * Records that an attempt ended.
     *
     * @param work work of the attempt
     */
    public void remove(PendingWork work) {
        pending.remove(work);
    }

    int count() {
        return pending.size();
    }

    /**
     * Returns the expected cost of what is left.
     *
     * @param nowNanos monotonic time in ns
     * @return ms for a plain service, passes for an engine
     */
    public double left(long nowNanos) {
        double sum = 0;
        for (int i = 0; i < pending.size(); i++) {
            sum += pending.get(i).left(nowNanos);
        }
        return sum;
    }

    /**
     * Returns the number of streams that run during the next passes, with unread prompts as additional streams.
     *
     * @param passes number of passes, positive
     * @param countedShare weight of the streams that run now, as opposed to their mean number during the passes
     */
    double streams(double passes, double countedShare, long nowNanos) {
        double overlap = 0;
        double prompts = 0;
        for (int i = 0; i < pending.size(); i++) {
            PendingWork work = pending.get(i);
            overlap += Math.min(work.left(nowNanos), passes);
            prompts += work.promptPassesLeft();
        }
        return countedShare * pending.size() + (1 - countedShare) * overlap / passes + prompts;
    }
}
