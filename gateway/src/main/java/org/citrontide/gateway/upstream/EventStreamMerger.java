package org.citrontide.gateway.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Merges the server-sent events that the attempts of one request return into a single stream without duplicates.
 *
 * <p>Invariants: the numbers of the returned events increase by one each; no event is returned in part, and
 * each has lines of one event only, from one attempt; an event without a number has no unknown fields, because these
 * may be a field that begins with stray bytes; at most {@value #MAX_EVENT_BYTES} bytes of an incomplete event are kept.
 * Not thread-safe.
 */
public final class EventStreamMerger {
    // A faulty upstream may send bytes without end that contain no event.
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final byte[] BYTE_ORDER_MARK = "\ufeff".getBytes(StandardCharsets.UTF_8);

    private byte[] partialEvent = new byte[0];
    private OptionalLong lastEventId = OptionalLong.empty();
    private boolean hasEvents;
    private boolean hasGap;
    private boolean isOversized;
    private boolean isSpoiled;
    private boolean isFirstEvent = true;

    /** Whether events of an earlier attempt have been returned. */
    private boolean isResumed;

    /**
     * Adds bytes of the current attempt.
     *
     * @param data bytes received since the last call
     * @return the complete events that the caller has not received yet, empty if there are none
     */
    public byte[] add(byte[] data) {
        if (isOversized) {
            return new byte[0];
        }
        byte[] all = partialEvent.length == 0 ? data : concatenate(partialEvent, data);
        ByteArrayOutputStream out = new ByteArrayOutputStream(all.length);
        int start = 0;
        for (int end = findEventEnd(all, start); end > 0; end = findEventEnd(all, start)) {
            if (accept(all, start, end)) {
                out.write(all, start, end - start);
            }
            start = end;
        }
        isOversized = all.length - start > MAX_EVENT_BYTES;
        partialEvent = isOversized ? new byte[0] : Arrays.copyOfRange(all, start, all.length);
        return out.toByteArray();
    }

    /** Starts an attempt, which sends the incomplete event of the one before in full. */
    public void startAttempt() {
        isResumed = hasEvents;
        partialEvent = new byte[0];
        hasGap = false;
        isOversized = false;
        isSpoiled = false;
        isFirstEvent = true;
    }

    /**
     * Returns whether the bytes received so far end with a complete event.
     *
     * @return true if there is no incomplete event
     */
    public boolean isAtEventBoundary() {
        return partialEvent.length == 0;
    }

    /**
     * Returns whether a complete event has been received.
     *
     * @return false before the first event
     */
    public boolean hasEvents() {
        return hasEvents;
    }

    /**
     * Returns whether the current attempt can't continue the stream, because an event is missing, has no place in the
     * order of the events, is too large, or has lines that are not those of one event.
     *
     * @return true if the attempt is to be cancelled
     */
    public boolean isBroken() {
        return hasGap || isOversized || isSpoiled;
    }

    /**
     * Returns the number of the last returned event.
     *
     * @return the number, or empty if no event with a number was returned
     */
    public OptionalLong lastEventId() {
        return lastEventId;
    }

    private boolean accept(byte[] all, int start, int end) {
        Optional<ServerSentEvent> event = ServerSentEvent.parse(all, start + markLength(all, start), end);
        isSpoiled |= event.isEmpty();
        if (isBroken()) {
            return false;
        }
        isFirstEvent = false;
        return event.get().isComment() || accept(event.get());
    }

    private boolean accept(ServerSentEvent event) {
        OptionalLong id = event.number();
        boolean isUnplaceable = id.isEmpty()
                ? lastEventId.isPresent() || isResumed || event.hasUnknownField()
                : isResumed && lastEventId.isEmpty();
        hasGap |= isUnplaceable;
        if (hasGap) {
            return false;
        }
        hasEvents = true;
        if (id.isEmpty()) {
            return true;
        }
        if (lastEventId.isPresent() && id.getAsLong() <= lastEventId.getAsLong()) {
            return false;
        }
        hasGap = lastEventId.isPresent() && id.getAsLong() != lastEventId.getAsLong() + 1;
        if (!hasGap) {
            lastEventId = id;
        }
        return !hasGap;
    }

    /** Returns the length of the byte order mark that a stream may begin with. */
    private int markLength(byte[] all, int start) {
        boolean hasMark = isFirstEvent
                && Arrays.equals(
                        all,
                        start,
                        Math.min(all.length, start + BYTE_ORDER_MARK.length),
                        BYTE_ORDER_MARK,
                        0,
                        BYTE_ORDER_MARK.length);
        return hasMark ? BYTE_ORDER_MARK.length : 0;
    }

    /** Returns the position after the blank line that ends the event, or -1 if the event is incomplete. */
    private static int findEventEnd(byte[] all, int start) {
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

    private static byte[] concatenate(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }
}
