package org.citrontide.core.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.membership.UpstreamId;

/**
 * A caller's request that has no final answer yet.
 *
 * <p>Invariant: at most one attempt is in flight; frames of earlier attempts are ignored. Not thread-safe.
 */
final class OpenRequest {

    /**
     * An attempt in flight.
     *
     * @param number number of the attempt
     * @param upstream upstream that it was sent to
     */
    record Attempt(long number, UpstreamId upstream) {}

    final DispatchRequest request;
    final Set<UpstreamId> triedUpstreams = new HashSet<>();
    final EventSplitter splitter = new EventSplitter();
    Optional<Attempt> currentAttempt = Optional.empty();
    int attemptCount;

    /** Whether an earlier attempt of this request may have run. */
    boolean mayHaveRun;

    /** HTTP status of the current attempt's answer, 0 until its head has arrived. */
    int status;

    String contentType = "";

    /** Number of bytes received of the body of the current attempt's answer. */
    long receivedBytes;

    /** Body of an answer that is not streamed. */
    ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Whether the current attempt's answer is a stream of server-sent events. */
    boolean isStreamed;

    /** Whether the head of a streamed answer has been sent to the caller. */
    boolean isStreamBegun;

    OpenRequest(DispatchRequest request) {
        this.request = request;
    }

    void beginAttempt(Attempt attempt) {
        currentAttempt = Optional.of(attempt);
        attemptCount++;
        triedUpstreams.add(attempt.upstream());
        status = 0;
        contentType = "";
        receivedBytes = 0;
        isStreamed = false;
        body.reset();
        splitter.discardPartialEvent();
    }
}
