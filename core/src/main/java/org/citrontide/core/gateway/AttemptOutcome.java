package org.citrontide.core.gateway;

import org.citrontide.core.verdict.Reason;

/**
 * The outcome of one attempt at an upstream. Immutable.
 *
 * <p>The gateway logs unsuccessful outcomes in their text form, which contains the names of the records, of their
 * components and of the causes.
 */
public sealed interface AttemptOutcome {

    /**
     * The complete response is available, or was passed on to the caller.
     *
     * @param status HTTP status
     */
    record Completed(int status) implements AttemptOutcome {
        private static final int REDIRECTION = 300;

        /**
         * Returns whether the upstream answered the request as asked.
         *
         * @return true for a status below 300
         */
        public boolean isSuccess() {
            return status < REDIRECTION;
        }
    }

    /**
     * The upstream ran the request and failed; its complete response is available.
     *
     * @param status HTTP status, 500 or more
     */
    record Failed(int status) implements AttemptOutcome {}

    /**
     * The upstream reported that it did not run the request.
     *
     * @param cause why the upstream rejected the request
     */
    record Rejected(Cause cause) implements AttemptOutcome {

        /** Why an upstream did not run a request. */
        public enum Cause {
            /** The upstream's queue is full, or the deadline passed in it. */
            FULL,
            /** The upstream's address now belongs to another one. */
            MISDIRECTED,
            /** Another member of the upstream's group is dead or unreachable. */
            GROUP_BROKEN,
            /** The request itself is unacceptable to the upstream. */
            UNACCEPTABLE
        }
    }

    /** The upstream was unreachable, and no byte of the request was sent. */
    record Unreached() implements AttemptOutcome {}

    /** The gateway gave the attempt up before it began to write the request, so no byte was sent. */
    record Withdrawn() implements AttemptOutcome {}

    /**
     * The request may have run, and its response is missing or incomplete.
     *
     * @param reason why there is no complete response
     */
    record Broken(Reason reason) implements AttemptOutcome {}
}
