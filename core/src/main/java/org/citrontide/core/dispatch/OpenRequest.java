package org.citrontide.core.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.membership.UpstreamId;

/**
 * A caller's request that has no final answer yet.
 *
 * <p>Invariant: at most one attempt is current; frames of earlier attempts are not looked at. Not thread-safe.
 */
final class OpenRequest {

    /**
     * The attempt under way.
     *
     * @param number its number
     * @param upstream where it was sent
     */
    record Attempt(long number, UpstreamId upstream) {}

    final DispatchRequest request;
    final Set<UpstreamId> tried = new HashSet<>();
    final EventSplitter splitter = new EventSplitter();
    Optional<Attempt> attempt = Optional.empty();
    int attempts;

    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRun;

    /** Status of the current attempt's answer, 0 before its head. */
    int status;

    String contentType = "";

    /** Bytes of the current attempt's body received so far. */
    long received;

    /** Body of an answer that is not streamed. */
    ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Whether the current attempt's answer is passed on event by event. */
    boolean streamed;

    /** Whether the caller has the head of the answer. */
    boolean begun;

    OpenRequest(DispatchRequest request) {
        this.request = request;
    }

    void beginAttempt(Attempt a) {
        attempt = Optional.of(a);
        attempts++;
        tried.add(a.upstream());
        status = 0;
        contentType = "";
        received = 0;
        streamed = false;
        body.reset();
        splitter.dropRest();
    }
}
