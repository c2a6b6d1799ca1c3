package org.citrontide.gateway.upstream;

import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response, received so far.
 *
 * <p>Invariant: the memory exceeds the size by at most {@value #MAX_BLOCK_BYTES} bytes, however small the received
 * parts are, and received bytes are not copied again. Not thread-safe: owned by the event loop.
 */
final class ResponseBody {
    private static final int MIN_BLOCK_BYTES = 256;
    private static final int MAX_BLOCK_BYTES = 32 * 1024;

    private final List<byte[]> blocks = new ArrayList<>();
    private int freeInLast;
    private int size;

    /** Appends bytes; returns the number of bytes of memory that this took up in addition. */
    int append(byte[] data) {
        int copied = Math.min(freeInLast, data.length);
        if (copied > 0) {
            byte[] last = blocks.getLast();
            System.arraycopy(data, 0, last, last.length - freeInLast, copied);
            freeInLast -= copied;
        }
        size += data.length;
        int rest = data.length - copied;
        if (rest == 0) {
            return 0;
        }
        byte[] block = new byte[Math.max(rest, Math.clamp(size, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES))];
        System.arraycopy(data, copied, block, 0, rest);
        blocks.add(block);
        freeInLast = block.length - rest;
        return block.length;
    }

    int size() {
        return size;
    }

    byte[] toByteArray() {
        byte[] all = new byte[size];
        int position = 0;
        for (byte[] block : blocks) {
            int length = Math.min(block.length, size - position);
            System.arraycopy(block, 0, all, position, length);
            position += length;
        }
        return all;
    }
}
