package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Schedules the reads of the counts of a few ranks of a group.
 *
 * <p>Invariant: at most one read of a rank is in flight. Not thread-safe.
 */
final class DemandSampler {
    // Each read pauses the group for a few milliseconds.
    static final int SAMPLED_RANKS = 2;
    // Bounds of the time after which the counts are read again to find out whether a pass has started.
    private static final Duration MIN_PASS_WAIT = Duration.ofMillis(40);
    private static final Duration MAX_PASS_WAIT = Duration.ofMillis(250);

    private final Set<String> pending = new HashSet<>();
    private long nextReadNanos;
    private int nextSampled;

    /** Discards the reads in flight: their responses are ignored. */
    void clear() {
        pending.clear();
        nextSampled = 0;
    }

    boolean isDue(long nowNanos) {
        return nowNanos >= nextReadNanos;
    }

    void schedule(Duration delay, long nowNanos) {
        nextReadNanos = nowNanos + delay.toNanos();
    }

    /** Schedules the next reads for the time at which a pass is expected to have started. */
    void scheduleAtStep(long step, PassEstimator passEstimator, long nowNanos) {
        long wait = passEstimator.timeTo(step, nowNanos).toNanos();
        nextReadNanos = nowNanos + Math.clamp(wait, MIN_PASS_WAIT.toNanos(), MAX_PASS_WAIT.toNanos());
    }

    /**
     * Requests the reads of the counts of the sampled ranks, unless they are in flight. If fewer than all of them are
     * to be read, they take turns.
     */
    void requestReads(List<String> ranks, int count, EventContext context) {
        int sampled = Math.min(SAMPLED_RANKS, ranks.size());
        for (int i = 0; i < Math.min(count, sampled); i++) {
            String id = ranks.get(nextSampled * ranks.size() / sampled);
            nextSampled = (nextSampled + 1) % sampled;
            if (pending.add(id)) {
                context.add(new MapAction.ReadCounts(id));
            }
        }
    }

    /** Records the end of a read; returns false if its response is to be ignored. */
    boolean recordEnd(String rank) {
        return pending.remove(rank);
    }

    /** Returns whether no read is in flight. */
    boolean isComplete() {
        return pending.isEmpty();
    }
}
