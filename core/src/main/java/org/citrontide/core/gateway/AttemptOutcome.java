package org.citrontide.core.gateway;

import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/** How one attempt at an upstream ended. Immutable. */
public sealed interface AttemptOutcome {

    /**
     * The whole answer is at hand, or has gone to the caller.
     *
     * @param status HTTP status
     */
    record Whole(int status) implements AttemptOutcome {}

    /**
     * The upstream ran the request and failed; its whole answer is at hand.
     *
     * @param status HTTP status, 500 or more
     */
    record Failed(int status) implements AttemptOutcome {}

    /**
     * The upstream says that it did not run the request.
     *
     * @param cause why
     * @param retryAfterMillis when it expects room, if it says so
     */
    record Rejected(Cause cause, Optional<Long> retryAfterMillis) implements AttemptOutcome {

        /** Why an upstream did not run a request. */
        public enum Cause {
            /** Its queue is full, or the deadline passed there. */
            FULL,
            /** Another upstream has its address now. */
            MISDIRECTED,
            /** Another member of its group is dead or cut off. */
            GROUP_BROKEN,
            /** It refuses this request for a reason of the request's own. */
            UNACCEPTABLE
        }
    }

    /** No byte of the request was sent. */
    record Unreached() implements AttemptOutcome {}

    /**
     * The request may have run, and there is no whole answer.
     *
     * @param reason what went wrong
     */
    record Broken(Reason reason) implements AttemptOutcome {}
}
