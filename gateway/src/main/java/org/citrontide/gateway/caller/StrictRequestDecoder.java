package org.citrontide.gateway.caller;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and marks those with ambiguous framing, which other HTTP parsers may delimit differently (request
 * smuggling).
 *
 * <p>Invariant: a message with both a Content-Length and a Transfer-Encoding is marked by {@link #AMBIGUOUS_LENGTH}.
 * Not thread-safe.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    static final String AMBIGUOUS_LENGTH = "x-citrontide-ambiguous-length";

    private long headIncompleteSinceNanos;
    private boolean headIncomplete;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
    }

    /** Returns for how many ns the head of a request has been incomplete, 0 if none is. */
    long headIncompleteNanos(long nowNanos) {
        return headIncomplete ? nowNanos - headIncompleteSinceNanos : 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (!headIncomplete && buffer.isReadable()) {
            headIncomplete = true;
            headIncompleteSinceNanos = System.nanoTime();
        }
        int sizeBefore = out.size();
        super.decode(ctx, buffer, out);
        if (out.size() > sizeBefore) {
            headIncomplete = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        message.headers().set(AMBIGUOUS_LENGTH, "1");
    }
}
