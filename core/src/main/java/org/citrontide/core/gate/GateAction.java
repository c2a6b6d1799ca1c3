package org.citrontide.core.gate;

import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.verdict.Verdict;

/** What a {@link SidecarGate} asks of its shell. Immutable. */
public sealed interface GateAction {

    /**
     * Call the upstream, but only if the request can leave before both times.
     *
     * @param id number of the attempt
     * @param latestNanos monotonic time in ns after which it must not leave
     * @param latestEpochMillis wall-clock time in ms since 1970 after which it must not leave
     */
    record Start(long id, long latestNanos, long latestEpochMillis) implements GateAction {}

    /**
     * Break off the call to the upstream; its end is reported as usual.
     *
     * @param id number of the attempt
     */
    record Abort(long id) implements GateAction {}

    /**
     * Tell the entry how the attempt ended.
     *
     * @param id number of the attempt
     * @param verdict its outcome
     * @param length length of the body in bytes, of use only if it completed
     */
    record End(long id, Verdict verdict, long length) implements GateAction {}

    /**
     * Send an answer from memory.
     *
     * @param id number of the attempt
     * @param answer the answer
     */
    record Replay(long id, StoredResponse answer) implements GateAction {}

    /**
     * Call the platform's service.
     *
     * @param call the read or write
     */
    record ClaimCall(ClaimAction call) implements GateAction {}

    /** The last request has ended after a drain. */
    record Drained() implements GateAction {}
}
