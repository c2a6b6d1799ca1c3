package org.citrontide.gateway.upstream;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;

/**
 * Writes one request to an upstream, a large one in pieces as the upstream takes them: the channel copies what is
 * written into direct memory until the socket takes it.
 *
 * <p>Invariant: the result is passed on once. Not thread-safe: owned by the event loop.
 */
final class RequestWriter {
    // Below it, one write costs less than two and takes up no more than the channel may keep anyway.
    private static final int WHOLE_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 32 * 1024;

    private final Channel channel;
    private final FullHttpRequest request;
    private final Consumer<Boolean> result;
    private final ByteBuf unwritten;
    private boolean hasBegun;
    private boolean isEnding;
    private boolean hasResult;

    /**
     * Creates a writer that has not begun.
     *
     * @param channel where to write
     * @param request the request
     * @param result takes whether the whole request was handed to the socket
     */
    RequestWriter(Channel channel, FullHttpRequest request, Consumer<Boolean> result) {
        this.channel = channel;
        this.request = request;
        this.result = result;
        this.unwritten = request.content();
    }

    /** Writes as much as the channel takes. */
    void write() {
        if (!hasBegun && unwritten.readableBytes() <= WHOLE_BYTES) {
            hasBegun = true;
            isEnding = true;
            channel.writeAndFlush(request).addListener(f -> handleEnd(f.cause()));
            return;
        }
        if (isEnding || hasResult) {
            return;
        }
        if (!hasBegun) {
            hasBegun = true;
            noteFailure(channel.write(new DefaultHttpRequest(
                    request.protocolVersion(), request.method(), request.uri(), request.headers())));
        }
        while (unwritten.isReadable() && channel.isWritable() && !hasResult) {
            int length = Math.min(PIECE_BYTES, unwritten.readableBytes());
            noteFailure(channel.write(new DefaultHttpContent(unwritten.readRetainedSlice(length))));
            channel.flush();
        }
        if (!unwritten.isReadable() && !hasResult) {
            isEnding = true;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> handleEnd(f.cause()));
        }
    }

    private void noteFailure(ChannelFuture write) {
        write.addListener(f -> {
            if (!f.isSuccess()) {
                handleEnd(f.cause());
            }
        });
    }

    private void handleEnd(Throwable failure) {
        OutOfMemoryExit.check(failure);
        if (!hasResult) {
            hasResult = true;
            result.accept(failure == null);
        }
    }
}
