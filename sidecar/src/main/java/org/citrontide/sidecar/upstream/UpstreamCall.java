package org.citrontide.sidecar.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.gate.CallOutcome;
import org.citrontide.core.verdict.Reason;
import org.citrontide.store.client.ResponseCheck;
import org.eclipse.jetty.client.HttpResponseException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * One call to the upstream, whose answer is passed on as far as the entry has granted credit.
 *
 * <p>Invariants: no more bytes are passed on than were granted, except that the chunk that uses up the credit is passed
 * on completely; the end is reported once, after the last byte. The call is reported as never sent only if it failed
 * before its first byte was sent. Thread-safe.
 */
public final class UpstreamCall {
    private static final int MAX_RETAINED_BYTES = 64 * 1024;

    private final AnswerListener listener;
    private final boolean isAnswerRetained;
    private final AtomicBoolean isSendStarted = new AtomicBoolean();
    private final ByteArrayOutputStream retainedBody = new ByteArrayOutputStream();
    private long creditBytes;
    private long offset;
    private Optional<Content.Source> pausedSource = Optional.empty();
    private volatile Request request;
    private volatile int status;
    private volatile String contentType = "";

    /**
     * Creates a call; {@link #send} sends its request.
     *
     * @param creditBytes initial credit: number of bytes of the body that the entry is ready to receive
     * @param isAnswerRetained whether the complete answer is reported at the end, provided that it is small
     * @param listener receives the answer
     */
    public UpstreamCall(long creditBytes, boolean isAnswerRetained, AnswerListener listener) {
        this.creditBytes = creditBytes;
        this.isAnswerRetained = isAnswerRetained;
        this.listener = listener;
    }

    /**
     * Sends the request.
     *
     * @param newRequest the request, complete except for its listeners
     * @param startCheck evaluated immediately before the first byte is sent
     */
    public void send(Request newRequest, StartCheck startCheck) {
        request = newRequest;
        newRequest.onRequestBegin(x -> {
            if (!startCheck.isInTime()) {
                x.abort(new StartTooLateException());
                return;
            }
            isSendStarted.set(true);
        });
        ResponseCheck.addTo(newRequest);
        newRequest.onResponseHeaders(this::handleHead);
        newRequest.onResponseContentSource((response, source) -> readAnswer(source));
        newRequest.send(this::handleEnd);
    }

    /** Aborts the call. The end of the call is still reported. */
    public void abort() {
        Request current = request;
        if (current != null) {
            current.abort(new CallAbortedException());
        }
    }

    /**
     * Grants further credit.
     *
     * @param bytes number of further bytes of the body that may be passed on
     */
    public void grantCredit(int bytes) {
        Optional<Content.Source> source;
        synchronized (this) {
            creditBytes += bytes;
            source = creditBytes > 0 ? pausedSource : Optional.empty();
            if (source.isPresent()) {
                pausedSource = Optional.empty();
            }
        }
        source.ifPresent(this::readAnswer);
    }

    private void handleHead(Response response) {
        status = response.getStatus();
        contentType = Optional.ofNullable(response.getHeaders().get(HttpHeader.CONTENT_TYPE))
                .orElse("");
        listener.headReceived(status, contentType);
    }

    private void readAnswer(Content.Source source) {
        while (true) {
            if (pauseWithoutCredit(source)) {
                return;
            }
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(() -> readAnswer(source));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                return;
            }
            forward(chunk);
            if (chunk.isLast()) {
                return;
            }
        }
    }

    private synchronized boolean pauseWithoutCredit(Content.Source source) {
        if (creditBytes > 0) {
            return false;
        }
        pausedSource = Optional.of(source);
        return true;
    }

    private void forward(Content.Chunk chunk) {
        ByteBuffer buffer = chunk.getByteBuffer();
        byte[] data = BufferUtil.toArray(buffer);
        chunk.release();
        if (data.length == 0) {
            return;
        }
        long chunkOffset;
        synchronized (this) {
            chunkOffset = offset;
            offset += data.length;
            creditBytes -= data.length;
        }
        if (isAnswerRetained && retainedBody.size() + data.length <= MAX_RETAINED_BYTES) {
            retainedBody.writeBytes(data);
        }
        listener.chunkReceived(chunkOffset, data);
    }

    private void handleEnd(Result result) {
        long length;
        synchronized (this) {
            length = offset;
        }
        if (result.isSucceeded()) {
            Optional<StoredResponse> answer = isAnswerRetained && retainedBody.size() == length
                    ? Optional.of(new StoredResponse(status, contentType, retainedBody.toByteArray()))
                    : Optional.empty();
            listener.callEnded(new CallOutcome.Answered(status, length, answer));
        } else if (isSendStarted.get()) {
            boolean isBroken = status != 0 || result.getFailure() instanceof HttpResponseException;
            listener.callEnded(new CallOutcome.AnswerLost(isBroken ? Reason.ANSWER_BROKEN : Reason.CONNECTION_LOST));
        } else if (result.getFailure() instanceof StartTooLateException) {
            listener.callEnded(new CallOutcome.NeverSent(Reason.DEADLINE));
        } else {
            listener.callEnded(new CallOutcome.NeverSent(Reason.UPSTREAM_UNREACHABLE));
        }
    }

    /**
     * Receives the parts of an answer in order. Called on the threads of the HTTP client and on those that call
     * {@link UpstreamCall#grantCredit}.
     */
    public interface AnswerListener {

        /**
         * The status and the headers arrived.
         *
         * @param status HTTP status
         * @param contentType media type, empty if unknown
         */
        void headReceived(int status, String contentType);

        /**
         * A chunk of the body arrived.
         *
         * @param offset offset of its first byte in the body
         * @param data bytes of the chunk
         */
        void chunkReceived(long offset, byte[] data);

        /**
         * The call ended.
         *
         * @param outcome outcome of the call
         */
        void callEnded(CallOutcome outcome);
    }

    /** Checks whether a request may still be sent. */
    public interface StartCheck {

        /**
         * Compares the current time with the latest start.
         *
         * @return true if the first byte may be sent now
         */
        boolean isInTime();
    }

    /** Signals that a request would be sent after its latest start. */
    private static final class StartTooLateException extends Exception {
        private static final long serialVersionUID = 1;

        private StartTooLateException() {
            super("the latest start of the request has passed", null, false, false);
        }
    }

    /** Signals that the answer of a call is no longer needed. */
    private static final class CallAbortedException extends Exception {
        private static final long serialVersionUID = 1;

        private CallAbortedException() {
            super("the answer of the call is no longer needed", null, false, false);
        }
    }
}
