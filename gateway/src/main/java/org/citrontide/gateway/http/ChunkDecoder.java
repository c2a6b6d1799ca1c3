package org.citrontide.gateway.http;

import io.netty.buffer.ByteBuf;

/**
 * Decodes the chunk framing of one body in one loop over its bytes, without an object for a chunk.
 *
 * <p>Invariants: what Netty's strict decoder rejects is rejected: a size that is not hexadecimal digits only or exceeds
 * 31 bits, data that is not followed by CR LF, a line end other than CR LF, and an extension that is not a token or a
 * token with a value; folded trailers and blanks behind a size or a value are rejected too. Extensions and trailers are
 * dropped and limited in length. Not thread-safe: owned by the event loop.
 */
public final class ChunkDecoder {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int HEX_SHIFT = 4;
    private static final int HEX_RADIX = 16;

    private final int maxLineBytes;
    private Part part = Part.SIZE;
    private long size;
    private int digits;
    private int lineBytes;

    private enum Part {
        SIZE,
        AFTER_SIZE,
        EXTENSION_START,
        EXTENSION_NAME,
        AFTER_EXTENSION_NAME,
        EXTENSION_VALUE_START,
        EXTENSION_VALUE,
        EXTENSION_QUOTED,
        EXTENSION_ESCAPED,
        EXTENSION_END,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER_START,
        TRAILER_NAME,
        TRAILER_VALUE,
        TRAILER_LF,
        LAST_LF,
        END,
        MALFORMED
    }

    /**
     * Creates a decoder at the beginning of a body.
     *
     * @param maxLineBytes maximum length of a chunk size with its extensions, and of all trailers, in bytes
     */
    public ChunkDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Skips framing.
     *
     * @param in received bytes
     * @return number of bytes of data that begin at the reader index, 0 if there are none
     */
    public int skipFraming(ByteBuf in) {
        int position = in.readerIndex();
        int end = in.writerIndex();
        while (position < end && part != Part.DATA && part != Part.END && part != Part.MALFORMED) {
            part = next(in.getByte(position));
            position++;
        }
        in.readerIndex(position);
        return part == Part.DATA ? (int) Math.min(size, end - position) : 0;
    }

    /**
     * Takes note that bytes of data were read.
     *
     * @param length number of bytes, from 1 to the result of {@link #skipFraming}
     */
    public void dataRead(int length) {
        size -= length;
        if (size == 0) {
            part = Part.DATA_CR;
        }
    }

    /**
     * Returns whether the body has ended.
     *
     * @return true behind the last byte of the body
     */
    public boolean isEnded() {
        return part == Part.END;
    }

    /**
     * Returns whether the framing is malformed.
     *
     * @return true from the first byte on that violates the grammar or a limit
     */
    public boolean isMalformed() {
        return part == Part.MALFORMED;
    }

    private Part next(byte b) {
        return switch (part) {
            case SIZE -> nextInSize(b);
            case SIZE_LF -> b == '\n' ? startData() : Part.MALFORMED;
            case DATA_CR -> b == '\r' ? Part.DATA_LF : Part.MALFORMED;
            case DATA_LF -> b == '\n' ? Part.SIZE : Part.MALFORMED;
            case TRAILER_LF -> b == '\n' ? Part.TRAILER_START : Part.MALFORMED;
            case LAST_LF -> b == '\n' ? Part.END : Part.MALFORMED;
            default -> nextInDropped(b);
        };
    }

    private Part nextInDropped(byte b) {
        lineBytes++;
        if (lineBytes > maxLineBytes) {
            return Part.MALFORMED;
        }
        return switch (part) {
            case AFTER_SIZE -> nextAfterSize(b);
            case EXTENSION_START -> isBlank(b) ? part : requireToken(b, Part.EXTENSION_NAME);
            case EXTENSION_NAME -> nextInExtensionName(b);
            case AFTER_EXTENSION_NAME -> nextAfterExtensionName(b);
            case EXTENSION_VALUE_START -> nextInExtensionValueStart(b);
            case EXTENSION_VALUE -> isToken(b) ? part : nextAfterExtension(b);
            case EXTENSION_QUOTED -> nextInQuoted(b);
            case EXTENSION_ESCAPED -> isControl(b) ? Part.MALFORMED : Part.EXTENSION_QUOTED;
            case EXTENSION_END -> nextAfterExtension(b);
            case TRAILER_START -> b == '\r' ? Part.LAST_LF : requireToken(b, Part.TRAILER_NAME);
            case TRAILER_NAME -> b == ':' ? Part.TRAILER_VALUE : requireToken(b, Part.TRAILER_NAME);
            case TRAILER_VALUE -> nextInTrailerValue(b);
            default -> throw new IllegalStateException("no framing is due: " + part);
        };
    }

    private Part nextInSize(byte b) {
        int digit = Character.digit(b, HEX_RADIX);
        if (digit >= 0) {
            size = size << HEX_SHIFT | digit;
            digits++;
            return size > Integer.MAX_VALUE || digits > maxLineBytes ? Part.MALFORMED : Part.SIZE;
        }
        if (digits == 0) {
            return Part.MALFORMED;
        }
        lineBytes = digits;
        return b == '\r' ? Part.SIZE_LF : nextAfterSize(b);
    }

    private static Part nextAfterSize(byte b) {
        if (isBlank(b)) {
            return Part.AFTER_SIZE;
        }
        return b == ';' ? Part.EXTENSION_START : Part.MALFORMED;
    }

    private static Part nextInExtensionName(byte b) {
        if (isToken(b)) {
            return Part.EXTENSION_NAME;
        }
        return b == '\r' ? Part.SIZE_LF : nextAfterExtensionName(b);
    }

    private static Part nextAfterExtensionName(byte b) {
        if (b == '=') {
            return Part.EXTENSION_VALUE_START;
        }
        if (isBlank(b)) {
            return Part.AFTER_EXTENSION_NAME;
        }
        return b == ';' ? Part.EXTENSION_START : Part.MALFORMED;
    }

    private static Part nextInExtensionValueStart(byte b) {
        if (isBlank(b)) {
            return Part.EXTENSION_VALUE_START;
        }
        return b == '"' ? Part.EXTENSION_QUOTED : requireToken(b, Part.EXTENSION_VALUE);
    }

    private static Part nextAfterExtension(byte b) {
        if (b == ';') {
            return Part.EXTENSION_START;
        }
        return b == '\r' ? Part.SIZE_LF : Part.MALFORMED;
    }

    private static Part nextInQuoted(byte b) {
        if (b == '"') {
            return Part.EXTENSION_END;
        }
        if (b == '\\') {
            return Part.EXTENSION_ESCAPED;
        }
        return isControl(b) ? Part.MALFORMED : Part.EXTENSION_QUOTED;
    }

    private Part startData() {
        digits = 0;
        lineBytes = 0;
        return size == 0 ? Part.TRAILER_START : Part.DATA;
    }

    private static Part nextInTrailerValue(byte b) {
        if (b == '\r') {
            return Part.TRAILER_LF;
        }
        return isControl(b) ? Part.MALFORMED : Part.TRAILER_VALUE;
    }

    private static Part requireToken(byte b, Part next) {
        return isToken(b) ? next : Part.MALFORMED;
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    private static boolean isControl(byte b) {
        return b >= 0 && b < ' ' && b != '\t' || b == 0x7f;
    }

    private static boolean isToken(byte b) {
        return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || TOKEN_SYMBOLS.indexOf(b) >= 0;
    }
}
