package org.citrontide.gateway.upstream;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import org.citrontide.core.routes.ListedUpstream;

/**
 * One attempt on its way: the request as the upstream gets it, and what came back so far.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class UpstreamAttempt {
    private final long number;
    private final ListedUpstream upstream;
    private final FullHttpRequest request;
    private final String attemptId;
    private final boolean streaming;
    private final boolean runsOnce;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<AnswerHead> head = Optional.empty();
    private Optional<UpstreamConnection> connection = Optional.empty();
    private boolean over;

    /**
     * Makes an attempt.
     *
     * @param number its number
     * @param upstream where it goes
     * @param request the request, sent as it is
     * @param attemptId value that the upstream echoes
     * @param streaming whether a successful answer is passed on as it comes
     * @param runsOnce whether the request must not run twice
     */
    public UpstreamAttempt(
            long number,
            ListedUpstream upstream,
            FullHttpRequest request,
            String attemptId,
            boolean streaming,
            boolean runsOnce) {
        this.number = number;
        this.upstream = upstream;
        this.request = request;
        this.attemptId = attemptId;
        this.streaming = streaming;
        this.runsOnce = runsOnce;
    }

    /**
     * Returns the number.
     *
     * @return number of the attempt
     */
    public long number() {
        return number;
    }

    /**
     * Returns the upstream.
     *
     * @return where it goes
     */
    public ListedUpstream upstream() {
        return upstream;
    }

    /**
     * Returns status and headers of the answer.
     *
     * @return the head, empty before it came
     */
    public Optional<AnswerHead> head() {
        return head;
    }

    /**
     * Returns the body of an answer that is not passed on as it comes.
     *
     * @return the bytes so far
     */
    public byte[] body() {
        return body.toByteArray();
    }

    int bodyLength() {
        return body.size();
    }

    FullHttpRequest request() {
        return request;
    }

    String attemptId() {
        return attemptId;
    }

    boolean isStreaming() {
        return streaming;
    }

    boolean runsOnce() {
        return runsOnce;
    }

    boolean isOver() {
        return over;
    }

    void setOver() {
        over = true;
    }

    void setHead(AnswerHead h) {
        head = Optional.of(h);
    }

    void append(byte[] data) {
        body.writeBytes(data);
    }

    Optional<UpstreamConnection> connection() {
        return connection;
    }

    void setConnection(UpstreamConnection c) {
        connection = Optional.of(c);
    }
}
