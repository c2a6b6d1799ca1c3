package org.citrontide.gateway.http;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;

/**
 * Writes a message with a large body in pieces as its receiver takes them: the channel copies what is written into
 * direct memory until the socket takes it.
 *
 * <p>Invariant: the result is passed on once. Not thread-safe: owned by the event loop.
 */
public final class BodyWriter {
    /** Bodies up to this size are written at once: that costs less, and takes up no more than the channel may keep. */
    public static final int WHOLE_BYTES = 64 * 1024;

    private static final int PIECE_BYTES = 32 * 1024;

    private final Channel channel;
    private final ByteBuf unwritten;
    private final Consumer<Throwable> result;
    private boolean hasBegun;
    private boolean isEnding;
    private boolean hasResult;

    /**
     * Creates a writer that has not begun.
     *
     * @param channel where to write
     * @param body the body
     * @param result takes the reason why the message was not handed to the socket, or null if all of it was
     */
    public BodyWriter(Channel channel, ByteBuf body, Consumer<Throwable> result) {
        this.channel = channel;
        this.unwritten = body;
        this.result = result;
    }

    /**
     * Writes the head, and as much of the body as the channel takes.
     *
     * @param head the head, without content
     */
    public void begin(HttpMessage head) {
        hasBegun = true;
        noteFailure(channel.write(head));
        resume();
    }

    /** Writes as much of the rest as the channel takes. */
    public void resume() {
        if (!hasBegun || isEnding || hasResult) {
            return;
        }
        while (unwritten.isReadable() && channel.isWritable() && !hasResult) {
            int length = Math.min(PIECE_BYTES, unwritten.readableBytes());
            noteFailure(channel.writeAndFlush(new DefaultHttpContent(unwritten.readRetainedSlice(length))));
        }
        if (!unwritten.isReadable() && !hasResult && !isEnding) {
            isEnding = true;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> end(f.cause()));
        }
    }

    private void noteFailure(ChannelFuture write) {
        write.addListener(f -> {
            if (!f.isSuccess()) {
                end(f.cause());
            }
        });
    }

    private void end(Throwable failure) {
        OutOfMemoryExit.check(failure);
        if (!hasResult) {
            hasResult = true;
            result.accept(failure);
        }
    }
}
