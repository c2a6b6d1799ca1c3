package org.citrontide.core.expertmap;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Summarizes the requests on the ranks of a group, from one round of reports.
 *
 * <p>Invariant: each rank counts once in a round. Not thread-safe.
 */
final class GroupLoadSummary {
    private final Set<String> pending = new HashSet<>();
    private int slotsPerRank;
    private int running;
    private int waiting;
    private int ranksWithQueue;
    private int ranksWithFreeSlot;

    /** Starts a round of reports from the given ranks. */
    void start(Collection<String> ranks, int slots) {
        pending.clear();
        pending.addAll(ranks);
        slotsPerRank = slots;
        running = 0;
        waiting = 0;
        ranksWithQueue = 0;
        ranksWithFreeSlot = 0;
    }

    /** Adds the report of a rank; returns the log text once every rank of the round has reported. */
    Optional<String> record(String rank, RankReport report) {
        if (!pending.remove(rank)) {
            return Optional.empty();
        }
        running += report.running();
        waiting += report.waiting();
        ranksWithQueue += report.waiting() > 0 ? 1 : 0;
        ranksWithFreeSlot += report.running() < slotsPerRank ? 1 : 0;
        return pending.isEmpty() ? Optional.of(describe()) : Optional.empty();
    }

    private String describe() {
        return String.format(
                "running %d waiting %d ranks-with-queue %d ranks-with-free-slot %d",
                running, waiting, ranksWithQueue, ranksWithFreeSlot);
    }
}
