package org.citrontide.gateway.caller;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes complete heads of requests and marks those with ambiguous framing, which other HTTP parsers may delimit
 * differently (request smuggling).
 *
 * <p>Invariants: a message with both a Content-Length and a Transfer-Encoding is marked by {@link #AMBIGUOUS_LENGTH};
 * no state is kept between two heads, so one decoder serves all connections. Not thread-safe: owned by the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    static final String AMBIGUOUS_LENGTH = "x-citrontide-ambiguous-length";

    private final List<Object> decoded = new ArrayList<>();

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
    }

    /**
     * Decodes one head.
     *
     * @param head bytes up to and including the empty line
     * @return the head, whose decoder result is a failure if the bytes are not one well-formed head
     */
    HttpRequest decodeHead(ByteBuf head) {
        decoded.clear();
        try {
            decode(null, head, decoded);
            boolean isWhole = !decoded.isEmpty() && decoded.getFirst() instanceof HttpRequest && !head.isReadable();
            return isWhole ? (HttpRequest) decoded.getFirst() : invalid(new IllegalArgumentException("not one head"));
        } catch (Exception e) {
            return invalid(e);
        } finally {
            decoded.clear();
            reset();
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        message.headers().set(AMBIGUOUS_LENGTH, "1");
    }

    private HttpRequest invalid(Exception cause) {
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(cause));
        return (HttpRequest) message;
    }
}
