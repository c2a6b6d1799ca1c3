package org.citrontide.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads the complete body of a request without blocking.
 *
 * <p>Invariant: holds at most the limit and one chunk in memory. Not thread-safe: one thread at a time uses it.
 */
final class BodyReader implements Runnable {
    private final Content.Source source;
    private final int limit;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();

    private BodyReader(Content.Source source, int limit) {
        this.source = source;
        this.limit = limit;
    }

    /** Reads a body; the future fails with {@link BodyTooLargeException} if it is longer than {@code limit} bytes. */
    static CompletableFuture<byte[]> read(Content.Source source, int limit) {
        BodyReader reader = new BodyReader(source, limit);
        reader.run();
        return reader.result;
    }

    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                result.completeExceptionally(chunk.getFailure());
                return;
            }
            if (!append(chunk)) {
                return;
            }
            if (chunk.isLast()) {
                result.complete(body.toByteArray());
                return;
            }
        }
    }

    private boolean append(Content.Chunk chunk) {
        ByteBuffer bytes = chunk.getByteBuffer();
        boolean isWithinLimit = body.size() + bytes.remaining() <= limit;
        if (isWithinLimit) {
            body.writeBytes(BufferUtil.toArray(bytes));
        }
        chunk.release();
        if (!isWithinLimit) {
            result.completeExceptionally(new BodyTooLargeException());
        }
        return isWithinLimit;
    }

    /** Thrown if a body is longer than the limit. */
    static final class BodyTooLargeException extends Exception {
        private static final long serialVersionUID = 1;

        private BodyTooLargeException() {
            super("the request body is longer than the limit", null, false, false);
        }
    }
}
