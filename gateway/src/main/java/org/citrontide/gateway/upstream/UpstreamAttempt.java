package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import org.citrontide.core.routes.ListedUpstream;

/**
 * One attempt in flight: the request to the upstream, and the response received so far.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class UpstreamAttempt {
    private final long number;
    private final ListedUpstream upstream;
    private final FullHttpRequest request;
    private final Duration remaining;
    private final String attemptId;
    private final boolean isStreaming;
    private final boolean atMostOnce;
    private final long decidedNanos = System.nanoTime();
    private final ResponseBody body = new ResponseBody();
    private Optional<ResponseHead> head = Optional.empty();
    private Optional<UpstreamConnection> connection = Optional.empty();
    private boolean onReusedConnection;
    private boolean sendStarted;
    private boolean written;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param number number of the attempt, unique within a process
     * @param upstream upstream to send the request to
     * @param request the request, sent unchanged but for the remaining time
     * @param remaining time that remains until the deadline of the request
     * @param attemptId attempt ID that the upstream echoes, empty if there is none
     * @param isStreaming whether a successful response is passed on while it arrives
     * @param atMostOnce whether the request must run at most once
     */
    public UpstreamAttempt(
            long number,
            ListedUpstream upstream,
            FullHttpRequest request,
            Duration remaining,
            String attemptId,
            boolean isStreaming,
            boolean atMostOnce) {
        this.number = number;
        this.upstream = upstream;
        this.request = request;
        this.remaining = remaining;
        this.attemptId = attemptId;
        this.isStreaming = isStreaming;
        this.atMostOnce = atMostOnce;
    }

    /**
     * Returns the number of the attempt.
     *
     * @return number of the attempt, unique within a process
     */
    public long number() {
        return number;
    }

    /**
     * Returns the upstream of the attempt.
     *
     * @return the upstream
     */
    public ListedUpstream upstream() {
        return upstream;
    }

    /**
     * Returns the status and header fields of the response.
     *
     * @return the head, empty until it is received
     */
    public Optional<ResponseHead> head() {
        return head;
    }

    /**
     * Returns the body of a response that is not streamed.
     *
     * @return the bytes received so far
     */
    public byte[] body() {
        return body.toByteArray();
    }

    /**
     * Returns whether the response is a success that is passed on while it arrives.
     *
     * @return false for any other response, and before the head was received
     */
    public boolean isStreamed() {
        return isStreaming
                && head.filter(h -> h.status() / 100 == 2 && h.isStamped()).isPresent();
    }

    /**
     * Returns the number of the connection of the attempt.
     *
     * @return number that is unique within a process, 0 if the attempt has no connection
     */
    public long connectionNumber() {
        return connection.map(UpstreamConnection::number).orElse(0L);
    }

    /**
     * Returns whether an earlier attempt was sent on the connection.
     *
     * @return false before this attempt is sent
     */
    public boolean isOnReusedConnection() {
        return onReusedConnection;
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

    boolean isAtMostOnce() {
        return atMostOnce;
    }

    /** Returns the monotonic time in ns at which the attempt was decided on. */
    long decidedNanos() {
        return decidedNanos;
    }

    /** Returns the time that remains until the deadline of the request, negative after it. */
    Duration remaining(long nowNanos) {
        return remaining.minusNanos(nowNanos - decidedNanos);
    }

    /** Returns whether the writing of the request has begun, so that the upstream may receive it. */
    boolean isSendStarted() {
        return sendStarted;
    }

    void setSendStarted() {
        sendStarted = true;
    }

    /** Returns whether the whole request was handed to the socket. */
    boolean isWritten() {
        return written;
    }

    void setWritten() {
        written = true;
    }

    boolean isEnded() {
        return ended;
    }

    void setEnded() {
        ended = true;
    }

    void setHead(ResponseHead newHead) {
        head = Optional.of(newHead);
    }

    /** Appends bytes to the body; returns the number of bytes of memory that this took up. */
    int appendBody(byte[] data) {
        return body.append(data);
    }

    Optional<UpstreamConnection> connection() {
        return connection;
    }

    void setOnReusedConnection(boolean isReused) {
        onReusedConnection = isReused;
    }

    void setConnection(UpstreamConnection newConnection) {
        connection = Optional.of(newConnection);
    }
}
