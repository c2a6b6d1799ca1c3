package org.citrontide.core.dispatch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events at the blank lines between them.
 *
 * <p>Invariant: only complete events are returned, so that another attempt can resume after the last one. Not
 * thread-safe.
 */
final class EventSplitter {
    private static final byte[] DONE_EVENT = "data: [DONE]".getBytes(StandardCharsets.UTF_8);

    private byte[] partialEvent = new byte[0];
    private int eventCount;
    private boolean isDoneEventReceived;

    /** Appends bytes to the stream and returns the events completed by them, an empty array if there are none. */
    byte[] append(byte[] data) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(partialEvent.length + data.length);
        buffer.writeBytes(partialEvent);
        buffer.writeBytes(data);
        byte[] all = buffer.toByteArray();
        int end = 0;
        int start = 0;
        for (int i = 1; i < all.length; i++) {
            if (all[i] == '\n' && all[i - 1] == '\n') {
                end = i + 1;
                eventCount++;
                isDoneEventReceived = startsWithDoneEvent(all, start);
                start = end;
            }
        }
        partialEvent = Arrays.copyOfRange(all, end, all.length);
        return Arrays.copyOf(all, end);
    }

    /** Discards an incomplete event. The next attempt sends this event again from its start. */
    void discardPartialEvent() {
        partialEvent = new byte[0];
    }

    /** Returns the number of complete events so far. */
    int eventCount() {
        return eventCount;
    }

    /** Returns whether the stream is complete: its last event arrived, and nothing after it. */
    boolean isComplete() {
        return isDoneEventReceived && partialEvent.length == 0;
    }

    private static boolean startsWithDoneEvent(byte[] all, int start) {
        int end = start + DONE_EVENT.length;
        return end <= all.length && Arrays.equals(all, start, end, DONE_EVENT, 0, DONE_EVENT.length);
    }
}
