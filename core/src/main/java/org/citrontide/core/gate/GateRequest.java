package org.citrontide.core.gate;

import java.util.Optional;

import org.citrontide.core.claim.ClaimLedger;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.queue.Waiting;

/**
 * One attempt in front of an upstream. Immutable.
 *
 * @param waiting its place in the queue; the identifier is never used twice in a process
 * @param repeatable whether running it twice does no harm
 * @param key hash of its idempotency key, if it has one
 * @param deadlineEpochMillis its deadline by the entry's wall clock, in ms since 1970; it tells the age of an attempt
 *     that lay unread while this process was frozen, which the monotonic deadline from the time of reading can't
 */
public record GateRequest(Waiting waiting, boolean repeatable, Optional<KeyHash> key, long deadlineEpochMillis) {

    /**
     * Returns the identifier.
     *
     * @return number of the attempt
     */
    public long id() {
        return waiting.id();
    }

    /** The latest start by this process's wall clock, which may differ from the entry's by the margin. */
    long latestEpochMillis() {
        return deadlineEpochMillis + ClaimLedger.CLOCK_MARGIN.toMillis();
    }

    boolean needsClaim() {
        return !repeatable && key.isPresent();
    }
}
