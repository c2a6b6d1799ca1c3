package org.citrontide.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class RequestBodyTest {
    private static final int LENGTH = 300_000;

    private static byte[] content(int length, long seed) {
        byte[] content = new byte[length];
        new SplittableRandom(seed).nextBytes(content);
        return content;
    }

    private static byte[] bytes(RequestBody body) {
        ByteBuf view = body.view();
        byte[] bytes = new byte[view.readableBytes()];
        view.readBytes(bytes);
        return bytes;
    }

    // Guards against bytes that are lost or mixed up, and against memory out of proportion to what has arrived.
    @Test
    void keepsTheBytesInMemoryInProportionToWhatHasArrived() {
        byte[] content = content(LENGTH, 1);
        for (int piece : new int[] {1, 7, 997, 16_384, LENGTH}) {
            for (boolean isLengthKnown : new boolean[] {true, false}) {
                RequestBody body = new RequestBody();
                for (int at = 0; at < LENGTH; at += piece) {
                    int length = Math.min(piece, LENGTH - at);
                    body.append(
                            Unpooled.wrappedBuffer(content, at, length),
                            length,
                            isLengthKnown ? LENGTH - at : Integer.MAX_VALUE);
                    assertTrue(body.capacity() <= body.size() + Math.min(body.size(), 32 * 1024) + 256);
                }
                assertEquals(LENGTH, body.size());
                assertTrue(!isLengthKnown || body.capacity() == LENGTH, "capacity " + body.capacity());
                assertTrue(java.util.Arrays.equals(content, bytes(body)), "pieces of " + piece);
            }
        }
    }

    // Guards against an attempt that changes or takes up what a later one needs.
    @Test
    void eachViewHasAllBytesAndSharesTheSegments() {
        RequestBody body = new RequestBody();
        body.append(Unpooled.copiedBuffer("x".repeat(100_000), StandardCharsets.US_ASCII), 100_000, Integer.MAX_VALUE);
        ByteBuf first = body.view();
        first.skipBytes(50_000);
        assertEquals(100_000, body.view().readableBytes());
        first.setByte(99_999, 'y');
        assertEquals('y', body.view().getByte(99_999));
        assertEquals(0, new RequestBody().view().readableBytes());
    }
}
