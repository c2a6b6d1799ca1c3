package org.citrontide.entry.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.citrontide.core.verdict.Verdict;
import org.citrontide.entry.filter.RequestContext;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A caller's request and the means to answer it.
 *
 * <p>Invariants: the answer has one verdict; a streamed answer that did not complete ends with an aborted connection,
 * never with a regular end; the chunks of a stream are written in order, one at a time. Thread-safe.
 */
public final class CallerExchange {
    /** Name of the header that holds the verdict; in streamed answers, a trailer. */
    public static final String VERDICT = "Citrontide-Verdict";

    /** Name of the header that holds the identifier of the request. */
    public static final String REQUEST_ID = "Citrontide-Request-Id";

    private final String requestId;
    private final RequestContext context;
    private final Response response;
    private final Callback callback;
    private final AtomicReference<Optional<Verdict>> trailerVerdict = new AtomicReference<>(Optional.empty());
    private final Deque<StreamChunk> pendingChunks = new ArrayDeque<>();
    private volatile Runnable disconnectListener = () -> {};
    private boolean isWriting;
    private boolean isEnded;

    CallerExchange(String requestId, RequestContext context, Response response, Callback callback) {
        this.requestId = requestId;
        this.context = context;
        this.response = response;
        this.callback = callback;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the identifier that is sent in the header {@value #REQUEST_ID}
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Returns the state that the filters have set for the request.
     *
     * @return context of the request
     */
    public RequestContext context() {
        return context;
    }

    /**
     * Sets the listener that runs if the caller disconnects before the end of its answer.
     *
     * @param listener runs on any thread, possibly more than once
     */
    public void onDisconnect(Runnable listener) {
        disconnectListener = listener;
    }

    /**
     * Sends a complete answer. Does nothing if the answer has already ended.
     *
     * @param status HTTP status
     * @param contentType media type, empty if unknown
     * @param body the complete body
     */
    public void sendAnswer(int status, String contentType, byte[] body) {
        if (markEnded()) {
            setHead(status, contentType).put(VERDICT, new Verdict.Completed(status).headerValue());
            response.write(true, ByteBuffer.wrap(body), callback);
        }
    }

    /**
     * Sends a refusal. Does nothing if the answer has already ended.
     *
     * @param verdict verdict with the reason for the refusal
     * @param detail text for the caller on what to do; must not contain secrets
     */
    public void sendRefusal(Verdict verdict, String detail) {
        if (!markEnded()) {
            return;
        }
        Problem problem = Problem.of(verdict, detail, requestId);
        HttpFields.Mutable headers = setHead(problem.status(), Problem.CONTENT_TYPE);
        headers.put(VERDICT, verdict.headerValue());
        problem.retryAfterSeconds().ifPresent(s -> headers.put(HttpHeader.RETRY_AFTER, s));
        response.write(true, ByteBuffer.wrap(problem.body()), callback);
    }

    /**
     * Begins a streamed answer, whose verdict follows as a trailer if it completes.
     *
     * @param status HTTP status
     * @param contentType media type
     */
    public void beginStream(int status, String contentType) {
        setHead(status, contentType).put(HttpHeader.TRAILER, VERDICT);
        response.setTrailersSupplier(() -> HttpFields.build()
                .put(VERDICT, trailerVerdict.get().map(Verdict::headerValue).orElse("may-have-run")));
    }

    /**
     * Sends the next chunk of a streamed answer.
     *
     * @param data bytes of the chunk
     * @param onWritten runs once the chunk has been written
     */
    public void sendStreamData(byte[] data, Runnable onWritten) {
        enqueue(new StreamChunk(Optional.of(data), onWritten));
    }

    /**
     * Ends a streamed answer. Aborts the connection unless the answer completed.
     *
     * @param verdict outcome of the request
     */
    public void endStream(Verdict verdict) {
        if (!markEnded()) {
            return;
        }
        if (verdict instanceof Verdict.Completed) {
            trailerVerdict.set(Optional.of(verdict));
            enqueue(new StreamChunk(Optional.empty(), () -> {}));
            return;
        }
        callback.failed(new AnswerAbortedException());
    }

    void handleDisconnect() {
        disconnectListener.run();
    }

    private synchronized boolean markEnded() {
        boolean isFirstCall = !isEnded;
        isEnded = true;
        return isFirstCall;
    }

    private HttpFields.Mutable setHead(int status, String contentType) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(REQUEST_ID, requestId);
        if (!contentType.isEmpty()) {
            headers.put(HttpHeader.CONTENT_TYPE, contentType);
        }
        return headers;
    }

    private void enqueue(StreamChunk chunk) {
        synchronized (this) {
            pendingChunks.add(chunk);
            if (isWriting) {
                return;
            }
            isWriting = true;
        }
        writeNext();
    }

    private void writeNext() {
        StreamChunk chunk;
        synchronized (this) {
            chunk = pendingChunks.poll();
            if (chunk == null) {
                isWriting = false;
                return;
            }
        }
        if (chunk.data().isEmpty()) {
            response.write(true, ByteBuffer.allocate(0), callback);
            return;
        }
        response.write(
                false,
                ByteBuffer.wrap(chunk.data().get()),
                Callback.from(
                        () -> {
                            chunk.onWritten().run();
                            writeNext();
                        },
                        failure -> {
                            callback.failed(failure);
                            handleDisconnect();
                        }));
    }

    /** A chunk of a streamed answer; a chunk without data ends the answer. */
    private record StreamChunk(Optional<byte[]> data, Runnable onWritten) {}

    /** Causes the HTTP server to abort the connection. */
    private static final class AnswerAbortedException extends Exception {
        private static final long serialVersionUID = 1;

        private AnswerAbortedException() {
            super("the answer of the upstream is incomplete", null, false, false);
        }
    }
}
