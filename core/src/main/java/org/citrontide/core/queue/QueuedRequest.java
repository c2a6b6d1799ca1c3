package org.citrontide.core.queue;

import org.citrontide.core.publication.Urgency;

/**
 * A request that waits in the queue for a slot. Immutable.
 *
 * @param id identifier, unique within the queue
 * @param urgency urgency class of the request
 * @param team name of the caller's team
 * @param cost estimated cost in tokens, at least 1
 * @param deadlineNanos monotonic time in ns from which on the request must not start
 */
public record QueuedRequest(long id, Urgency urgency, String team, int cost, long deadlineNanos) {

    /**
     * Validates the cost.
     *
     * @throws IllegalArgumentException if the cost is below 1
     */
    public QueuedRequest {
        if (cost < 1) {
            throw new IllegalArgumentException("cost must be at least 1: " + cost);
        }
    }
}
