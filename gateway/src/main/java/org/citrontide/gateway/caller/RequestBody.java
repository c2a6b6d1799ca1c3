package org.citrontide.gateway.caller;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request, received so far, in segments.
 *
 * <p>Invariants: received bytes are copied once; the capacity is at most the length of the body if that is known, and
 * otherwise exceeds the size by at most its double or {@value #MAX_SEGMENT_BYTES} bytes, whichever is less, and by
 * {@value #MIN_SEGMENT_BYTES} bytes. Not thread-safe: owned by the event loop.
 */
final class RequestBody {
    private static final int MIN_SEGMENT_BYTES = 256;
    private static final int MAX_SEGMENT_BYTES = 32 * 1024;

    private final List<byte[]> segments = new ArrayList<>(1);
    private byte[] last = new byte[0];
    private int usedInLast;
    private int size;
    private int capacity;

    /**
     * Appends bytes.
     *
     * @param in where to read the bytes
     * @param length number of bytes, at most as many as are readable
     * @param unread number of bytes of the body that have not been appended yet, these included, or an upper bound
     */
    void append(ByteBuf in, int length, long unread) {
        int rest = length;
        while (rest > 0) {
            if (usedInLast == last.length) {
                addSegment(rest, unread - (length - rest));
            }
            int copied = Math.min(rest, last.length - usedInLast);
            in.readBytes(last, usedInLast, copied);
            usedInLast += copied;
            size += copied;
            rest -= copied;
        }
    }

    int size() {
        return size;
    }

    /** Returns the memory of the segments in bytes. */
    int capacity() {
        return capacity;
    }

    /** Returns a view of the bytes, which shares the segments. */
    ByteBuf view() {
        if (segments.size() <= 1) {
            return Unpooled.wrappedBuffer(last, 0, size);
        }
        ByteBuf[] parts = new ByteBuf[segments.size()];
        for (int i = 0; i < parts.length; i++) {
            byte[] segment = segments.get(i);
            parts[i] = Unpooled.wrappedBuffer(segment, 0, segment == last ? usedInLast : segment.length);
        }
        return Unpooled.wrappedBuffer(parts.length, parts);
    }

    private void addSegment(int atLeast, long unread) {
        int wanted = Math.clamp(Math.max(size, atLeast), MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        last = new byte[(int) Math.min(wanted, unread)];
        usedInLast = 0;
        capacity += last.length;
        segments.add(last);
    }
}
