package org.citrontide.core.gate;

import java.util.Optional;

import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.verdict.Reason;

/** How a call to the upstream ended. Immutable. */
public sealed interface CallOutcome {

    /**
     * The whole answer has passed through.
     *
     * @param status HTTP status
     * @param length length of the body in bytes
     * @param answer the whole answer, if it is small enough to be kept
     */
    record Answered(int status, long length, Optional<StoredResponse> answer) implements CallOutcome {}

    /**
     * No byte of the request left this process.
     *
     * @param reason why
     */
    record NeverSent(Reason reason) implements CallOutcome {}

    /**
     * The request left, and its whole answer did not arrive.
     *
     * @param reason why
     */
    record Lost(Reason reason) implements CallOutcome {}
}
