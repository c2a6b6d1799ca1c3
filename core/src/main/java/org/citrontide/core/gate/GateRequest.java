package org.citrontide.core.gate;

import java.util.Optional;

import org.citrontide.core.claim.ClaimLedger;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.queue.QueuedRequest;

/**
 * The request of one attempt at the gate of an upstream. Immutable.
 *
 * @param queued entry of the request in the queue; its identifier is unique within the process
 * @param isRepeatable whether the request may safely run more than once
 * @param key hash of its idempotency key, empty if it has none
 * @param deadlineEpochMillis deadline by the entry's wall clock, in ms since 1970. It detects attempts that were left
 *     unread while this process was suspended; the monotonic deadline cannot, since it is computed when they are read
 */
public record GateRequest(QueuedRequest queued, boolean isRepeatable, Optional<KeyHash> key, long deadlineEpochMillis) {

    /**
     * Returns the identifier of the attempt.
     *
     * @return number of the attempt, unique within the process
     */
    public long id() {
        return queued.id();
    }

    /** Returns the latest start by this process's wall clock, which may differ from the entry's by the clock margin. */
    long latestEpochMillis() {
        return deadlineEpochMillis + ClaimLedger.CLOCK_MARGIN.toMillis();
    }

    boolean needsClaim() {
        return !isRepeatable && key.isPresent();
    }
}
