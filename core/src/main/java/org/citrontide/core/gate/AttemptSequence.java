package org.citrontide.core.gate;

/**
 * Recognises attempts that arrive twice on one link. An entry numbers its attempts upwards and sends them in order.
 *
 * <p>Invariant: each number is accepted at most once. Not thread-safe.
 */
public final class AttemptSequence {
    private long highest;

    /**
     * Takes the number of an attempt.
     *
     * @param number the entry's number
     * @return false if the attempt arrived before, and must be dropped
     */
    public boolean accept(long number) {
        if (number <= highest) {
            return false;
        }
        highest = number;
        return true;
    }
}
