package org.citrontide.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the bounds on what an upstream sends beside the data of its response. */
final class ResponseBoundsTest {
    private static final String CHUNKED = "HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int REPEATS = 100_000;

    /** Returns the number of data bytes decoded, and the reason for which the response was rejected, if any. */
    private static String decode(String begin, String repeated, int times, String end) {
        ResponseDecoder decoder = new ResponseDecoder(List.of());
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        decoder.expectResponseTo("GET");
        int bytes = 0;
        String rejection = "";
        for (int i = -1; i <= times && rejection.isEmpty(); i++) {
            String text = i < 0 ? begin : i == times ? end : repeated;
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
                if (o instanceof HttpObject message && message.decoderResult().isFailure()) {
                    rejection = MalformedResponseException.reasonOf(
                            message.decoderResult().cause());
                }
                bytes += o instanceof HttpContent content ? content.content().readableBytes() : 0;
                ReferenceCountUtil.release(o);
            }
        }
        channel.finishAndReleaseAll();
        return bytes + " " + rejection;
    }

    // Guards against an upstream that occupies an attempt, a connection and the event loop without any response.
    @Test
    void endlessInterimResponsesChunkExtensionsAndTrailersEndTheAttempt() {
        assertEquals("0 too-many-responses", decode("", "HTTP/1.1 103 H\r\nLink: x\r\n\r\n", REPEATS, ""));
        assertEquals("0 no-status-line", decode("", "\r\n", REPEATS, ""));
        String extension = "1;a=" + "b".repeat(2000) + "\r\nx\r\n";
        assertEquals("32 framing-too-long", decode(CHUNKED, extension, REPEATS, ""));
        assertEquals("0 unparsable", decode(CHUNKED + "0\r\n", "X-Trailer: x\r\n", REPEATS, ""));
    }

    // Guards against a bound that rejects a whole response of small chunks, or one after a few interim responses.
    @Test
    void smallChunksAndAFewInterimResponsesAreAccepted() {
        assertEquals(REPEATS + " ", decode(CHUNKED, "1\r\nx\r\n", REPEATS, "0\r\n\r\n"));
        String own = "HTTP/1.1 200 S\r\nContent-Length: 2\r\n\r\nxy";
        assertEquals("2 ", decode("", "HTTP/1.1 102 P\r\n\r\n", 16, own));
    }
}
