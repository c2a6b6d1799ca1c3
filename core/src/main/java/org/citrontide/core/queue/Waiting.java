package org.citrontide.core.queue;

import org.citrontide.core.publication.Urgency;

/**
 * One request that waits for a slot. Immutable.
 *
 * @param id identifier, unique within the queue
 * @param urgency its class
 * @param team its team
 * @param cost estimated cost in tokens, at least 1
 * @param deadlineNanos monotonic time after which it must not start, in ns
 */
public record Waiting(long id, Urgency urgency, String team, int cost, long deadlineNanos) {

    /**
     * Checks the cost.
     *
     * @throws IllegalArgumentException if the cost is below 1
     */
    public Waiting {
        if (cost < 1) {
            throw new IllegalArgumentException("cost must be at least 1: " + cost);
        }
    }
}
