package org.citrontide.core.expertmap;

/**
 * Decides whether a round of reports is older than the counts that were read before it.
 *
 * <p>Handles reports that lag: after a group has formed again, its ranks still report the last epoch for a while.
 * Invariant: only a bounded number of rounds in a row is outdated, so that a wrong epoch delays a group only briefly.
 * Not thread-safe.
 */
final class OutdatedReports {
    private static final int MAX_ROUNDS = 10;

    private int newestEpoch;
    private int rounds;

    /** Records the epoch that counts have shown. */
    void recordEpoch(int epoch) {
        newestEpoch = epoch;
    }

    /** Returns whether reports of the given epoch must be read again. */
    boolean mustReadAgain(int epoch) {
        if (epoch < newestEpoch && rounds < MAX_ROUNDS) {
            rounds++;
            return true;
        }
        rounds = 0;
        newestEpoch = 0;
        return false;
    }
}
