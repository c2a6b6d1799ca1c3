package org.citrontide.core.gate;

import java.util.Optional;

import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.verdict.Reason;

/** The outcome of a call to the upstream. Immutable. */
public sealed interface CallOutcome {

    /**
     * The complete answer was received and passed on.
     *
     * @param status HTTP status
     * @param length length of the body in bytes
     * @param answer the complete answer, present if it is small enough to be stored
     */
    record Answered(int status, long length, Optional<StoredResponse> answer) implements CallOutcome {}

    /**
     * No byte of the request was sent.
     *
     * @param reason reason why the request was not sent
     */
    record NeverSent(Reason reason) implements CallOutcome {}

    /**
     * The request was sent, but its answer did not arrive completely.
     *
     * @param reason reason why the answer is incomplete
     */
    record AnswerLost(Reason reason) implements CallOutcome {}
}
