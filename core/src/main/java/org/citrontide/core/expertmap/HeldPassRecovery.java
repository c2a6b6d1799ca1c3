package org.citrontide.core.expertmap;

import java.util.List;
import java.util.Optional;

/**
 * Decides what becomes of a pass that reports show to be held, by another controller, by an earlier change of this one,
 * or because an order to hold it was carried out late.
 *
 * <p>Handles ranks that leave orders unanswered and carry them out seconds later. Reports name the version that a rank
 * is armed with, but not the pass, so this class remembers the last switch that its controller has had confirmed.
 *
 * <p>Invariant: ranks that are armed for a switch of this term are armed for another pass only if no order of that
 * switch can still be carried out; else the held pass is released, and the switch takes place as it was confirmed. Not
 * thread-safe.
 */
final class HeldPassRecovery {
    private final HoldConfirmation confirmation = new HoldConfirmation();
    private Optional<ArmedSwitch> lastSwitch = Optional.empty();

    /** Discards what is known of earlier terms: another controller may have armed the ranks since. */
    void startTerm() {
        lastSwitch = Optional.empty();
    }

    /** Records a change that is over. */
    void recordEnd(GroupMapChange c) {
        lastSwitch = c.armedSwitch().or(() -> lastSwitch);
    }

    /** Returns whether the reports of a held pass must be read once more before it is decided on. */
    boolean mustReadAgain(List<String> ranks, GroupReports reports, long nowNanos) {
        return confirmation.mustReadAgain(ranks, reports, nowNanos);
    }

    /** Returns the switch that the ranks are armed for, if this controller knows it. */
    Optional<ArmedSwitch> pendingSwitch(List<String> ranks, GroupReports reports) {
        return lastSwitch.filter(s -> s.isPending(ranks, reports));
    }
}
