package org.citrontide.gateway.caller;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and keeps those that two readers could frame differently from being taken for proper ones.
 *
 * <p>Invariant: a message with a length and a transfer encoding is marked by {@link #AMBIGUOUS}. Not thread-safe.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    static final String AMBIGUOUS = "x-citrontide-ambiguous-length";

    private long partialSinceNanos;
    private boolean partial;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
    }

    /** Returns for how long the head of a request has been incomplete, 0 if none is. */
    long partialNanos(long nowNanos) {
        return partial ? nowNanos - partialSinceNanos : 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (!partial && buffer.isReadable()) {
            partial = true;
            partialSinceNanos = System.nanoTime();
        }
        int before = out.size();
        super.decode(ctx, buffer, out);
        if (out.size() > before) {
            partial = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        message.headers().set(AMBIGUOUS, "1");
    }
}
