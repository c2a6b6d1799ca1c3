package org.citrontide.sidecar.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.core.claim.StoredResponse;
import org.citrontide.core.gate.CallOutcome;
import org.citrontide.core.verdict.Reason;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * One call to the upstream, whose answer passes through as the entry grants credit.
 *
 * <p>Invariants: no more bytes are passed on than were granted, but for the chunk that used the last credit up; the end
 * is reported once, after the last byte. The call counts as never sent only if it failed before its first byte left.
 * Safe for use by many threads.
 */
public final class UpstreamCall {
    private static final int MAX_KEPT_BYTES = 64 * 1024;

    private final AnswerListener listener;
    private final boolean keepAnswer;
    private final AtomicBoolean begun = new AtomicBoolean();
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private long window;
    private long offset;
    private Optional<Content.Source> paused = Optional.empty();
    private volatile Request request;
    private volatile int status;
    private volatile String contentType = "";

    /**
     * Prepares a call.
     *
     * @param window bytes that the entry is ready to take
     * @param keepAnswer whether the whole answer is reported at the end, if it is small
     * @param listener gets the answer
     */
    public UpstreamCall(long window, boolean keepAnswer, AnswerListener listener) {
        this.window = window;
        this.keepAnswer = keepAnswer;
        this.listener = listener;
    }

    /**
     * Sends the request.
     *
     * @param r the request, complete but for its listeners
     * @param latest checked at the moment the first byte would leave
     */
    public void send(Request r, StartCheck latest) {
        request = r;
        r.onRequestBegin(x -> {
            if (!latest.isInTime()) {
                x.abort(new StartTooLateException());
                return;
            }
            begun.set(true);
        });
        r.onResponseHeaders(this::head);
        r.onResponseContentSource((response, source) -> read(source));
        r.send(this::complete);
    }

    /** Breaks the call off; its end is reported as usual. */
    public void abort() {
        Request r = request;
        if (r != null) {
            r.abort(new CallAbortedException());
        }
    }

    /**
     * Grants more bytes.
     *
     * @param bytes how many
     */
    public void grant(int bytes) {
        Optional<Content.Source> source;
        synchronized (this) {
            window += bytes;
            source = window > 0 ? paused : Optional.empty();
            if (source.isPresent()) {
                paused = Optional.empty();
            }
        }
        source.ifPresent(this::read);
    }

    private void head(Response response) {
        status = response.getStatus();
        contentType = Optional.ofNullable(response.getHeaders().get(HttpHeader.CONTENT_TYPE))
                .orElse("");
        listener.head(status, contentType);
    }

    private void read(Content.Source source) {
        while (true) {
            if (pause(source)) {
                return;
            }
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(() -> read(source));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                return;
            }
            pass(chunk);
            if (chunk.isLast()) {
                return;
            }
        }
    }

    private synchronized boolean pause(Content.Source source) {
        if (window > 0) {
            return false;
        }
        paused = Optional.of(source);
        return true;
    }

    private void pass(Content.Chunk chunk) {
        ByteBuffer buffer = chunk.getByteBuffer();
        byte[] data = BufferUtil.toArray(buffer);
        chunk.release();
        if (data.length == 0) {
            return;
        }
        long at;
        synchronized (this) {
            at = offset;
            offset += data.length;
            window -= data.length;
        }
        if (keepAnswer && kept.size() + data.length <= MAX_KEPT_BYTES) {
            kept.writeBytes(data);
        }
        listener.chunk(at, data);
    }

    private void complete(Result result) {
        long length;
        synchronized (this) {
            length = offset;
        }
        if (result.isSucceeded()) {
            Optional<StoredResponse> answer = keepAnswer && kept.size() == length
                    ? Optional.of(new StoredResponse(status, contentType, kept.toByteArray()))
                    : Optional.empty();
            listener.ended(new CallOutcome.Answered(status, length, answer));
        } else if (begun.get()) {
            listener.ended(new CallOutcome.AnswerLost(status == 0 ? Reason.CONNECTION_LOST : Reason.ANSWER_BROKEN));
        } else if (result.getFailure() instanceof StartTooLateException) {
            listener.ended(new CallOutcome.NeverSent(Reason.DEADLINE));
        } else {
            listener.ended(new CallOutcome.NeverSent(Reason.UPSTREAM_UNREACHABLE));
        }
    }

    /** Gets the answer of a call, in order. Called on the HTTP client's threads. */
    public interface AnswerListener {

        /**
         * The answer's head arrived.
         *
         * @param status HTTP status
         * @param contentType media type, empty if unknown
         */
        void head(int status, String contentType);

        /**
         * A part of the body arrived.
         *
         * @param offset position of its first byte
         * @param data the bytes
         */
        void chunk(long offset, byte[] data);

        /**
         * The call ended.
         *
         * @param outcome how
         */
        void ended(CallOutcome outcome);
    }

    /** Says whether a request may still leave. */
    public interface StartCheck {

        /**
         * Compares the clocks with the latest start.
         *
         * @return true if the first byte may leave now
         */
        boolean isInTime();
    }

    /** The request would have left too late. */
    private static final class StartTooLateException extends Exception {
        private static final long serialVersionUID = 1;

        private StartTooLateException() {
            super("the latest start has passed", null, false, false);
        }
    }

    /** Nobody waits for the answer any more. */
    private static final class CallAbortedException extends Exception {
        private static final long serialVersionUID = 1;

        private CallAbortedException() {
            super("nobody waits for the answer", null, false, false);
        }
    }
}
