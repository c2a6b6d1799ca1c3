package org.citrontide.core.gateway;

import java.time.Duration;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.verdict.Verdict;

/** What a {@link GatewayDispatcher} asks of its shell. Immutable. */
public sealed interface GatewayAction {

    /**
     * Send an attempt. A stream of which the caller has events goes on after the last one.
     *
     * @param request the request
     * @param attempt number of the attempt, never used twice in a process
     * @param upstream where to
     * @param remaining time left until the final answer is due
     */
    record Send(GatewayRequest request, long attempt, ListedUpstream upstream, Duration remaining)
            implements GatewayAction {}

    /**
     * Break off an attempt whose answer nobody waits for.
     *
     * @param attempt number of the attempt
     */
    record Cancel(long attempt) implements GatewayAction {}

    /**
     * Send the caller the answer that the shell holds for an attempt.
     *
     * @param request number of the request
     * @param attempt number of the attempt
     */
    record Deliver(long request, long attempt) implements GatewayAction {}

    /**
     * Refuse a request of which the caller has no byte yet.
     *
     * @param request number of the request
     * @param verdict its outcome
     */
    record Refuse(long request, Verdict verdict) implements GatewayAction {}

    /**
     * End an answer that has begun, so that it can't be taken for whole.
     *
     * @param request number of the request
     * @param verdict its outcome
     */
    record BreakOff(long request, Verdict verdict) implements GatewayAction {}
}
