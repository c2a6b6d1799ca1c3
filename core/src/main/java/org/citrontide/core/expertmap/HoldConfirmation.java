package org.citrontide.core.expertmap;

import java.util.List;

/**
 * Decides whether a held pass that no rank seems to be armed for may be released.
 *
 * <p>Handles reports that lag: ranks may have been armed after the state that the reports show. Invariant: a pass is
 * released only if it is still held, and still no rank is armed, in reports that were read longer after the first ones
 * than reports lag. Not thread-safe.
 */
final class HoldConfirmation {
    private int seenEpoch;
    private long seenStep = -1;
    private long seenNanos;

    /**
     * Evaluates a round of reports that shows a held pass.
     *
     * @param ranks ranks of the group
     * @param reports reports of all ranks
     * @param nowNanos monotonic time in ns
     * @return whether the reports must be read once more before the pass may be released
     */
    boolean mustReadAgain(List<String> ranks, GroupReports reports, long nowNanos) {
        if (reports.mayBeArmed(ranks)) {
            return false;
        }
        RankReport holder = reports.of(reports.holdingRanks(ranks).getFirst());
        long step = holder.heldStep().orElseThrow();
        if (holder.epoch() != seenEpoch || step != seenStep) {
            seenEpoch = holder.epoch();
            seenStep = step;
            seenNanos = nowNanos;
        }
        return nowNanos - seenNanos < GroupMapChange.REPORT_LAG.toNanos();
    }
}
