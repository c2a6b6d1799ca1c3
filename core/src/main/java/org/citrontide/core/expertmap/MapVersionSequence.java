package org.citrontide.core.expertmap;

/**
 * Numbers the maps that one process prepares in a term, over all groups of a service.
 *
 * <p>Invariants: a version is used once, and is higher than all versions of earlier terms. The groups share the
 * sequence because a rank that moves to another group still refuses versions below the highest one that it has had.
 * Not thread-safe.
 */
final class MapVersionSequence {
    private static final int VERSIONS_PER_TERM = 1_000_000;

    private long term;
    private int usedInTerm;

    /** Starts a term; has no effect if this one or a later one has started already. */
    void startTerm(long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            usedInTerm = 0;
        }
    }

    /** Returns the next unused version. */
    long peek() {
        return term * VERSIONS_PER_TERM + usedInTerm + 1;
    }

    /** Marks the next version as used. */
    void advance() {
        usedInTerm++;
    }
}
