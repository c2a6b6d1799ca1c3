package org.citrontide.core.lease;

/**
 * Numbers the terms of elected leaders by the state of the store in which the leader key was written.
 *
 * <p>Handles a store that returns from an older copy of itself, which begins a new era and gives revisions out again:
 * the revision of the key alone would number two terms alike.
 *
 * <p>Invariant: a later term has a higher number, provided that a return takes back fewer than
 * {@value #REVISIONS_PER_ERA} revisions, and that the eras between the two terms are fewer than {@value #ERAS}.
 * Stateless, so thread-safe.
 */
public final class TermNumber {
    /** Increase of the number with each era: over two hours of 1,200 writes a second. */
    static final long REVISIONS_PER_ERA = 10_000_000;

    /** Number of eras that are told apart, so that an era of any size leaves room for the versions of maps. */
    static final long ERAS = 900_000;

    private TermNumber() {}

    /**
     * Returns the number of a term.
     *
     * @param era era of the store, 0 if it names none
     * @param revision revision of the leader key in this era
     * @return number of the term
     */
    public static long of(long era, long revision) {
        return era % ERAS * REVISIONS_PER_ERA + revision;
    }
}
