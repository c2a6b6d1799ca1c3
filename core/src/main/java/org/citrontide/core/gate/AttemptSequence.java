package org.citrontide.core.gate;

/**
 * Detects duplicate attempts on one link. An entry numbers its attempts in ascending order and sends them in
 * that order.
 *
 * <p>Invariant: each number is accepted at most once. Not thread-safe.
 */
public final class AttemptSequence {
    private long highestAccepted;

    /**
     * Accepts an attempt unless it is a duplicate.
     *
     * @param number number that the entry gave the attempt
     * @return false if the attempt is a duplicate and must be dropped
     */
    public boolean accept(long number) {
        if (number <= highestAccepted) {
            return false;
        }
        highestAccepted = number;
        return true;
    }
}
