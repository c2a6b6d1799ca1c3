package org.citrontide.core.expertmap;

import java.util.OptionalLong;

/**
 * State of one rank as reported by its engine. A report lags the engine by a few hundred milliseconds. Immutable.
 *
 * @param group name of its group
 * @param epoch number of times that the group has formed
 * @param rank number of the rank in the group
 * @param size number of ranks in the group
 * @param isOpen whether the group serves requests
 * @param step number of the last pass that started
 * @param mapVersion version of the map in force
 * @param prepared version of the map that is ready to be armed
 * @param armed version of the map that the rank will switch to
 * @param heldStep number of the pass that the group must not start until this rank releases it
 * @param slowness time that the rank needs for its work relative to a healthy rank, at least 1
 * @param running number of requests in the slots of the rank
 * @param waiting number of requests in the queue of the rank
 */
public record RankReport(
        String group,
        int epoch,
        int rank,
        int size,
        boolean isOpen,
        long step,
        long mapVersion,
        OptionalLong prepared,
        OptionalLong armed,
        OptionalLong heldStep,
        double slowness,
        int running,
        int waiting) {

    /** Returns the speed of the rank relative to a healthy rank, at most 1. */
    double speed() {
        return 1 / Math.max(1, slowness);
    }
}
