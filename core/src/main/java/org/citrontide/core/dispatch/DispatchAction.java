package org.citrontide.core.dispatch;

import java.time.Duration;

import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.verdict.Verdict;

/** An action that a {@link Dispatcher} requests from its shell. Immutable; arrays must not be modified. */
public sealed interface DispatchAction {

    /**
     * Sends an attempt to a sidecar.
     *
     * @param attempt number of the attempt, unique within the process
     * @param upstream upstream to send it to
     * @param request number of the request that the attempt belongs to
     * @param remaining time left until the deadline of the attempt
     * @param resumeAfterEvents number of server-sent events already passed on to the caller
     */
    record SendAttempt(long attempt, UpstreamId upstream, long request, Duration remaining, int resumeAfterEvents)
            implements DispatchAction {}

    /**
     * Tells a sidecar that the result of an attempt is no longer needed.
     *
     * @param attempt number of the attempt
     * @param upstream upstream that the attempt was sent to
     */
    record CancelAttempt(long attempt, UpstreamId upstream) implements DispatchAction {}

    /**
     * Grants a sidecar flow-control credit for an answer.
     *
     * @param attempt number of the attempt
     * @param upstream upstream that the attempt was sent to
     * @param bytes number of further bytes that the sidecar may send
     */
    record GrantCredit(long attempt, UpstreamId upstream, int bytes) implements DispatchAction {}

    /**
     * Sends the caller a complete answer that is not streamed.
     *
     * @param request number of the request
     * @param status HTTP status
     * @param contentType media type, empty if unknown
     * @param body the complete body
     */
    record SendAnswer(long request, int status, String contentType, byte[] body) implements DispatchAction {}

    /**
     * Begins a streamed answer.
     *
     * @param request number of the request
     * @param status HTTP status
     * @param contentType media type
     */
    record BeginStream(long request, int status, String contentType) implements DispatchAction {}

    /**
     * Sends the caller complete server-sent events. The shell credits the sidecar once they are written.
     *
     * @param request number of the request
     * @param attempt number of the attempt that produced them
     * @param upstream upstream of the attempt
     * @param data bytes of the events
     * @param credit number of bytes to credit once they are written
     */
    record SendEvents(long request, long attempt, UpstreamId upstream, byte[] data, int credit)
            implements DispatchAction {}

    /**
     * Ends a streamed answer. If it did not complete, the caller must be able to tell that it is truncated.
     *
     * @param request number of the request
     * @param verdict outcome of the request
     */
    record EndStream(long request, Verdict verdict) implements DispatchAction {}

    /**
     * Refuses a request for which the caller has not received any byte yet.
     *
     * @param request number of the request
     * @param verdict outcome of the request
     */
    record RefuseRequest(long request, Verdict verdict) implements DispatchAction {}

    /**
     * Opens a link to a sidecar and keeps it open.
     *
     * @param upstream upstream of the sidecar
     */
    record OpenLink(UpstreamId upstream) implements DispatchAction {}

    /**
     * Closes the link to a sidecar.
     *
     * @param upstream upstream of the sidecar
     */
    record CloseLink(UpstreamId upstream) implements DispatchAction {}
}
