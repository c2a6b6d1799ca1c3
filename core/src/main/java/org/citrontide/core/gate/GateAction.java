package org.citrontide.core.gate;

import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.verdict.Verdict;

/** An action that a {@link SidecarGate} requests from its shell. Immutable. */
public sealed interface GateAction {

    /**
     * Calls the upstream, provided that the request can be sent before both time limits.
     *
     * @param id number of the attempt
     * @param latestNanos monotonic time in ns after which the request must not be sent
     * @param latestEpochMillis wall-clock time in ms since 1970 after which the request must not be sent
     */
    record StartCall(long id, long latestNanos, long latestEpochMillis) implements GateAction {}

    /**
     * Aborts the call to the upstream. The end of the call is still reported.
     *
     * @param id number of the attempt
     */
    record AbortCall(long id) implements GateAction {}

    /**
     * Reports the outcome of an attempt to the entry.
     *
     * @param id number of the attempt
     * @param verdict outcome of the attempt
     * @param length length of the body in bytes, valid only if the attempt completed
     */
    record EndAttempt(long id, Verdict verdict, long length) implements GateAction {}

    /**
     * Sends the stored answer of an earlier attempt.
     *
     * @param id number of the attempt
     * @param answer the stored answer
     */
    record ReplayAnswer(long id, StoredResponse answer) implements GateAction {}

    /**
     * Calls the platform's store of claims.
     *
     * @param call the read or write to perform
     */
    record CallClaimStore(ClaimAction call) implements GateAction {}

    /** Reports that the drain is complete: no attempt holds a slot any more. */
    record ReportDrained() implements GateAction {}
}
