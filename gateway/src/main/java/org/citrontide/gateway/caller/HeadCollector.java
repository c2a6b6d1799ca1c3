package org.citrontide.gateway.caller;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the bytes of one request head until it is complete.
 *
 * <p>Invariants: line ends before the request line are skipped; a line that doesn't end in CR LF, and a head beyond
 * the limit, are noticed as soon as their bytes arrive; the limit applies to the request line, and to the other lines
 * together, without their ends. Both are as in Netty's decoder. Bytes are copied only if the head arrives in several
 * reads. Not thread-safe: owned by the event loop.
 */
final class HeadCollector {
    // Objects of a short line in the decoded head and in the headers of an attempt: two map entries, names and values.
    private static final int BYTES_PER_LINE = 256;
    private static final int BYTES_PER_HEAD = 1024;
    private static final int MIN_KEPT_BYTES = 512;
    private static final byte[] NOTHING = {};
    private static final byte[] LINE_END = {'\r', '\n'};

    private final int maxBytes;
    private byte[] kept = NOTHING;
    private int keptLength;
    private int lines;
    private int lineLength;
    private int requestLineLength;
    private int fieldBytes;
    private byte lastByte;
    private ByteBuf head = Unpooled.EMPTY_BUFFER;

    /** What a head is after further bytes. */
    enum Result {
        INCOMPLETE,
        COMPLETE,
        TOO_LONG,
        MALFORMED
    }

    HeadCollector(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reads up to the end of the head or of the bytes, and keeps the bytes of an incomplete head. */
    Result collect(ByteBuf in) {
        if (keptLength == 0) {
            skipLineEnds(in);
        }
        int start = in.readerIndex();
        int end = in.writerIndex();
        int position = start;
        while (true) {
            int lineFeed = in.indexOf(position, end, (byte) '\n');
            if (lineFeed < 0) {
                return handlePartialLine(in, start, position);
            }
            int content = lineLength + lineFeed - position - 1;
            byte before = lineFeed > position ? in.getByte(lineFeed - 1) : lastByte;
            lineLength = 0;
            position = lineFeed + 1;
            if (!addLine(content)) {
                return Result.TOO_LONG;
            }
            if (content < 0 || before != '\r') {
                return Result.MALFORMED;
            }
            if (content == 0) {
                return handleEnd(in, start, position);
            }
        }
    }

    /** Returns the complete head, valid until the bytes that were read last are released. */
    ByteBuf head() {
        return head;
    }

    /** Returns whether the request line is complete, but not the head. */
    boolean hasRequestLine() {
        return lines > 0;
    }

    /** Returns a head of only the request line. */
    ByteBuf requestLineAsHead() {
        return Unpooled.wrappedBuffer(
                Unpooled.wrappedBuffer(kept, 0, requestLineLength), Unpooled.wrappedBuffer(LINE_END));
    }

    /** Returns the memory that the head takes up once it is decoded, as far as it has arrived. */
    int cost() {
        return BYTES_PER_HEAD + lines * BYTES_PER_LINE + fieldBytes + Math.max(lineLength, kept.length);
    }

    /** Frees the kept bytes and starts with the next head. */
    void reset() {
        kept = NOTHING;
        keptLength = 0;
        lines = 0;
        lineLength = 0;
        fieldBytes = 0;
        head = Unpooled.EMPTY_BUFFER;
    }

    private Result handlePartialLine(ByteBuf in, int start, int position) {
        int end = in.writerIndex();
        if (end > position) {
            lineLength += end - position;
            lastByte = in.getByte(end - 1);
        }
        keep(in, start, end);
        in.readerIndex(end);
        int content = lineLength > 0 && lastByte == '\r' ? lineLength - 1 : lineLength;
        boolean isTooLong = content > (lines == 0 ? maxBytes : maxBytes - fieldBytes);
        return isTooLong ? Result.TOO_LONG : Result.INCOMPLETE;
    }

    private Result handleEnd(ByteBuf in, int start, int end) {
        if (keptLength == 0) {
            head = in.slice(start, end - start);
        } else {
            keep(in, start, end);
            head = Unpooled.wrappedBuffer(kept, 0, keptLength);
        }
        in.readerIndex(end);
        return Result.COMPLETE;
    }

    /** Counts a line; returns whether it is within the limit. */
    private boolean addLine(int content) {
        if (content <= 0) {
            return true;
        }
        lines++;
        if (lines == 1) {
            requestLineLength = content + LINE_END.length;
            return content <= maxBytes;
        }
        fieldBytes += content;
        return fieldBytes <= maxBytes;
    }

    private static void skipLineEnds(ByteBuf in) {
        while (in.isReadable() && (in.getByte(in.readerIndex()) == '\r' || in.getByte(in.readerIndex()) == '\n')) {
            in.skipBytes(1);
        }
    }

    private void keep(ByteBuf in, int from, int to) {
        int length = to - from;
        if (keptLength + length > kept.length) {
            kept = Arrays.copyOf(kept, Math.max(keptLength + length, Math.max(MIN_KEPT_BYTES, 2 * kept.length)));
        }
        in.getBytes(from, kept, keptLength, length);
        keptLength += length;
    }
}
