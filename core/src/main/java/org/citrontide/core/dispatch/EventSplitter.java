package org.citrontide.core.dispatch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of server-sent events at the blank lines between them.
 *
 * <p>Invariant: only whole events come out, so that another attempt can go on after the last one. Not thread-safe.
 */
final class EventSplitter {
    private static final byte[] LAST_EVENT = "data: [DONE]".getBytes(StandardCharsets.UTF_8);

    private byte[] rest = new byte[0];
    private int events;
    private boolean done;

    /** Takes bytes and returns the whole events now at hand, which may be none. */
    byte[] add(byte[] data) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(rest.length + data.length);
        joined.writeBytes(rest);
        joined.writeBytes(data);
        byte[] all = joined.toByteArray();
        int end = 0;
        int start = 0;
        for (int i = 1; i < all.length; i++) {
            if (all[i] == '\n' && all[i - 1] == '\n') {
                end = i + 1;
                events++;
                done = startsWithLast(all, start);
                start = end;
            }
        }
        rest = Arrays.copyOfRange(all, end, all.length);
        return Arrays.copyOf(all, end);
    }

    /** Forgets a part of an event, of which another attempt sends the whole. */
    void dropRest() {
        rest = new byte[0];
    }

    int events() {
        return events;
    }

    /** Says whether the stream is whole: its last event came and nothing after it. */
    boolean isWhole() {
        return done && rest.length == 0;
    }

    private static boolean startsWithLast(byte[] all, int start) {
        int end = start + LAST_EVENT.length;
        return end <= all.length && Arrays.equals(all, start, end, LAST_EVENT, 0, LAST_EVENT.length);
    }
}
