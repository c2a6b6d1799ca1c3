package org.citrontide.gateway.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Passes on the whole events of one caller's stream, whichever attempts they come from.
 *
 * <p>Invariant: the numbers of the events that come out grow by one each, and no event comes out in part. Not
 * thread-safe.
 */
public final class EventCutter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] rest = new byte[0];
    private OptionalLong lastId = OptionalLong.empty();
    private boolean hasGap;

    /**
     * Takes bytes of the current attempt.
     *
     * @param data the bytes
     * @return the whole events that are new to the caller, which may be none
     */
    public byte[] add(byte[] data) {
        byte[] all = rest.length == 0 ? data : join(rest, data);
        ByteArrayOutputStream out = new ByteArrayOutputStream(all.length);
        int start = 0;
        for (int end = endOfEvent(all, start); end > 0; end = endOfEvent(all, start)) {
            if (isNew(all, start, end)) {
                out.write(all, start, end - start);
            }
            start = end;
        }
        rest = Arrays.copyOfRange(all, start, all.length);
        return out.toByteArray();
    }

    /** Forgets the beginning of an event, which another attempt will send in full. */
    public void dropRest() {
        rest = new byte[0];
    }

    /**
     * Says whether the bytes so far end with a whole event.
     *
     * @return true if nothing is left over
     */
    public boolean isBetweenEvents() {
        return rest.length == 0;
    }

    /**
     * Says whether an event was missing.
     *
     * @return true if the stream can't be made whole
     */
    public boolean hasGap() {
        return hasGap;
    }

    /**
     * Returns the number of the last event that came out.
     *
     * @return the number, or empty if there was none
     */
    public OptionalLong lastId() {
        return lastId;
    }

    private boolean isNew(byte[] all, int start, int end) {
        OptionalLong id = id(all, start, end);
        if (id.isEmpty()) {
            return true;
        }
        if (lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
            return false;
        }
        hasGap |= lastId.isPresent() && id.getAsLong() != lastId.getAsLong() + 1;
        if (!hasGap) {
            lastId = id;
        }
        return !hasGap;
    }

    /** Returns the position after the blank line that ends the event, or -1 if it isn't there yet. */
    private static int endOfEvent(byte[] all, int start) {
        for (int i = start; i < all.length; i++) {
            if (all[i] != '\n') {
                continue;
            }
            if (i + 1 < all.length && all[i + 1] == '\n') {
                return i + 2;
            }
            if (i + 2 < all.length && all[i + 1] == '\r' && all[i + 2] == '\n') {
                return i + 3;
            }
        }
        return -1;
    }

    private static OptionalLong id(byte[] all, int start, int end) {
        int line = start;
        while (line < end) {
            int next = line;
            while (next < end && all[next] != '\n') {
                next++;
            }
            if (startsWithIdField(all, line, next)) {
                String value = new String(
                                all, line + ID_FIELD.length, next - line - ID_FIELD.length, StandardCharsets.US_ASCII)
                        .trim();
                return value.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(value)) : OptionalLong.empty();
            }
            line = next + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean startsWithIdField(byte[] all, int from, int to) {
        return to - from >= ID_FIELD.length
                && Arrays.equals(all, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }

    private static byte[] join(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }
}
