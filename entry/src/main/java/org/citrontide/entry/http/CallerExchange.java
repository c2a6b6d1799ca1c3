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
 * Writes the answer to one caller.
 *
 * <p>Invariants: the answer has one verdict; a streamed answer that did not complete ends with a broken connection and
 * never with a regular end; writes leave in order, one at a time. Safe for use by many threads.
 */
public final class CallerExchange {
    /** Header, and trailer of streamed answers, with the verdict. */
    public static final String VERDICT = "Citrontide-Verdict";

    /** Header with the request's identifier. */
    public static final String REQUEST_ID = "Citrontide-Request-Id";

    private final String requestId;
    private final RequestContext context;
    private final Response response;
    private final Callback callback;
    private final AtomicReference<Optional<Verdict>> trailer = new AtomicReference<>(Optional.empty());
    private final Deque<Piece> pieces = new ArrayDeque<>();
    private volatile Runnable goneListener = () -> {};
    private boolean writing;
    private boolean ended;

    CallerExchange(String requestId, RequestContext context, Response response, Callback callback) {
        this.requestId = requestId;
        this.context = context;
        this.response = response;
        this.callback = callback;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the identifier that the answer's header carries
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Returns what the filters learned.
     *
     * @return the request's context
     */
    public RequestContext context() {
        return context;
    }

    /**
     * Sets what follows when the caller goes away before its answer has ended.
     *
     * @param listener run at most a few times, on any thread
     */
    public void onDisconnect(Runnable listener) {
        goneListener = listener;
    }

    /**
     * Sends a whole answer.
     *
     * @param status HTTP status
     * @param contentType media type, empty if unknown
     * @param body the whole body
     */
    public void answer(int status, String contentType, byte[] body) {
        if (end()) {
            head(status, contentType).put(VERDICT, new Verdict.Completed(status).headerValue());
            response.write(true, ByteBuffer.wrap(body), callback);
        }
    }

    /**
     * Sends a refusal.
     *
     * @param verdict why
     * @param detail what the caller may do, without any secret
     */
    public void refuse(Verdict verdict, String detail) {
        if (!end()) {
            return;
        }
        Problem p = Problem.of(verdict, detail, requestId);
        HttpFields.Mutable headers = head(p.status(), Problem.CONTENT_TYPE);
        headers.put(VERDICT, verdict.headerValue());
        p.retryAfterSeconds().ifPresent(s -> headers.put(HttpHeader.RETRY_AFTER, s));
        response.write(true, ByteBuffer.wrap(p.body()), callback);
    }

    /**
     * Begins a streamed answer, whose verdict follows as a trailer.
     *
     * @param status HTTP status
     * @param contentType media type
     */
    public void beginStream(int status, String contentType) {
        head(status, contentType).put(HttpHeader.TRAILER, VERDICT);
        response.setTrailersSupplier(() -> HttpFields.build()
                .put(VERDICT, trailer.get().map(Verdict::headerValue).orElse("may-have-run")));
    }

    /**
     * Sends a part of a streamed answer.
     *
     * @param data the bytes
     * @param sent run once they have left
     */
    public void stream(byte[] data, Runnable sent) {
        enqueue(new Piece(Optional.of(data), sent));
    }

    /**
     * Ends a streamed answer.
     *
     * @param verdict its outcome
     */
    public void endStream(Verdict verdict) {
        if (!end()) {
            return;
        }
        if (verdict instanceof Verdict.Completed) {
            trailer.set(Optional.of(verdict));
            enqueue(new Piece(Optional.empty(), () -> {}));
            return;
        }
        callback.failed(new BrokenAnswerException());
    }

    void callerGone() {
        goneListener.run();
    }

    private synchronized boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private HttpFields.Mutable head(int status, String contentType) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(REQUEST_ID, requestId);
        if (!contentType.isEmpty()) {
            headers.put(HttpHeader.CONTENT_TYPE, contentType);
        }
        return headers;
    }

    private void enqueue(Piece piece) {
        synchronized (this) {
            pieces.add(piece);
            if (writing) {
                return;
            }
            writing = true;
        }
        writeNext();
    }

    private void writeNext() {
        Piece piece;
        synchronized (this) {
            piece = pieces.poll();
            if (piece == null) {
                writing = false;
                return;
            }
        }
        if (piece.data().isEmpty()) {
            response.write(true, ByteBuffer.allocate(0), callback);
            return;
        }
        response.write(
                false,
                ByteBuffer.wrap(piece.data().get()),
                Callback.from(
                        () -> {
                            piece.sent().run();
                            writeNext();
                        },
                        failure -> {
                            callback.failed(failure);
                            callerGone();
                        }));
    }

    /** A part of a streamed answer; one without data is the end. */
    private record Piece(Optional<byte[]> data, Runnable sent) {}

    /** Tells the HTTP server to break the connection off. */
    private static final class BrokenAnswerException extends Exception {
        private static final long serialVersionUID = 1;

        private BrokenAnswerException() {
            super("the upstream's answer broke off", null, false, false);
        }
    }
}
