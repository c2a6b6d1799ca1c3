package org.citrontide.core.dispatch;

import java.time.Duration;

import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.verdict.Verdict;

/** What a {@link Dispatcher} asks of its shell. Immutable; arrays must not be changed. */
public sealed interface DispatchAction {

    /**
     * Send an attempt to a sidecar.
     *
     * @param attempt number of the attempt, never used twice in a process
     * @param upstream its upstream
     * @param request number of the caller's request
     * @param remaining time left until the attempt must have ended
     * @param resumeAfterEvents server-sent events that the caller already has
     */
    record Send(long attempt, UpstreamId upstream, long request, Duration remaining, int resumeAfterEvents)
            implements DispatchAction {}

    /**
     * Tell a sidecar that nobody waits for an attempt any more.
     *
     * @param attempt number of the attempt
     * @param upstream its upstream
     */
    record Cancel(long attempt, UpstreamId upstream) implements DispatchAction {}

    /**
     * Let a sidecar send more bytes of an answer.
     *
     * @param attempt number of the attempt
     * @param upstream its upstream
     * @param bytes how many
     */
    record Credit(long attempt, UpstreamId upstream, int bytes) implements DispatchAction {}

    /**
     * Send the caller a whole answer.
     *
     * @param request number of the request
     * @param status HTTP status
     * @param contentType media type, empty if unknown
     * @param body the whole body
     */
    record Answer(long request, int status, String contentType, byte[] body) implements DispatchAction {}

    /**
     * Begin a streamed answer.
     *
     * @param request number of the request
     * @param status HTTP status
     * @param contentType media type
     */
    record BeginStream(long request, int status, String contentType) implements DispatchAction {}

    /**
     * Send the caller whole server-sent events. The shell credits the attempt's sidecar once they have left.
     *
     * @param request number of the request
     * @param attempt attempt that they came from
     * @param upstream upstream of the attempt
     * @param data the bytes
     * @param credit bytes to credit once they have left
     */
    record Stream(long request, long attempt, UpstreamId upstream, byte[] data, int credit) implements DispatchAction {}

    /**
     * End a streamed answer: as a whole one if it completed, else so that the caller can't take it for whole.
     *
     * @param request number of the request
     * @param verdict its outcome
     */
    record EndStream(long request, Verdict verdict) implements DispatchAction {}

    /**
     * Refuse a request of which the caller has no byte yet.
     *
     * @param request number of the request
     * @param verdict its outcome
     */
    record Refuse(long request, Verdict verdict) implements DispatchAction {}

    /**
     * Keep a link to a sidecar.
     *
     * @param upstream its upstream
     */
    record Dial(UpstreamId upstream) implements DispatchAction {}

    /**
     * Give up the link to a sidecar.
     *
     * @param upstream its upstream
     */
    record Drop(UpstreamId upstream) implements DispatchAction {}
}
