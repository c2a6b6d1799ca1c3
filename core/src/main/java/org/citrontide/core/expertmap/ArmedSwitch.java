package org.citrontide.core.expertmap;

import java.util.List;

/**
 * A change of maps that every rank of a group has confirmed for the same pass. Immutable.
 *
 * @param epoch epoch of the group
 * @param version version of the new map
 * @param step number of the first pass under the new map
 * @param mayRepeat whether an order to arm a rank went unanswered, and may therefore still be carried out
 */
record ArmedSwitch(int epoch, long version, long step, boolean mayRepeat) {

    /** Returns whether the reports agree that the ranks are armed for this switch and haven't started its pass. */
    boolean isPending(List<String> ranks, GroupReports reports) {
        return ranks.stream()
                .map(reports::of)
                .allMatch(r -> r.epoch() == epoch
                        && r.step() < step
                        && r.armed().stream().allMatch(v -> v == version));
    }

    /** Returns whether the ranks may be armed for another pass instead: no late order can undo that on one of them. */
    boolean canMoveTo(long otherStep) {
        return otherStep < step && !mayRepeat;
    }
}
