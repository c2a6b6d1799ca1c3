package org.citrontide.gateway.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that each event is returned complete, once and in order, wherever the bytes and the attempts are split. */
final class EventStreamMergerTest {
    private static final List<String> STRAY_HEADS = List.of(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 20\r\n\r\n",
            "HTTP/1.1 503 Service Unavailable\nRetry-After: 1\n\n");

    private final EventStreamMerger merger = new EventStreamMerger();

    @Test
    void anySplitOfTheBytesYieldsTheSameEvents() {
        String stream = events(1, 40);
        for (long seed = 1; seed <= 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EventStreamMerger randomlySplit = new EventStreamMerger();
            StringBuilder out = new StringBuilder();
            for (int start = 0; start < stream.length(); ) {
                int end = Math.min(stream.length(), start + 1 + random.nextInt(30));
                out.append(add(randomlySplit, stream.substring(start, end)));
                start = end;
            }
            assertEquals(stream, out.toString());
            assertTrue(randomlySplit.isAtEventBoundary());
        }
    }

    @Test
    void aSecondAttemptAddsOnlyMissingEvents() {
        add(merger, events(1, 3) + "id: 4\nda");
        assertEquals(3, merger.lastEventId().getAsLong());
        merger.startAttempt();
        assertEquals(events(4, 6), add(merger, events(2, 6)));
        assertFalse(merger.isBroken());
    }

    @Test
    void aMissingEventIsDetected() {
        add(merger, events(1, 3));
        assertEquals("", add(merger, events(5, 6)));
        assertTrue(merger.isBroken());
    }

    @Test
    void bytesWithoutEndBreakTheAttemptAndAnotherOneContinues() {
        add(merger, events(1, 3));
        String garbage = "x".repeat(64 * 1024);
        for (int i = 0; i < 100; i++) {
            assertEquals("", add(merger, garbage));
        }
        assertTrue(merger.isBroken());
        assertTrue(merger.isAtEventBoundary(), "no bytes of the endless event are kept");
        merger.startAttempt();
        assertEquals(events(4, 6), add(merger, events(1, 6)));
        assertFalse(merger.isBroken());
    }

    @Test
    void linesMayEndWithCarriageReturnAndLineFeed() {
        String event = "id: 1\r\ndata: x\r\n\r\n";
        assertEquals(event, add(merger, event));
    }

    // Guards against an event that begins with the head of another response, wherever that breaks off.
    @ParameterizedTest
    @ValueSource(ints = {0, 4})
    void bytesOfAHeadBeforeAnEventAreNoPartOfIt(int eventsBefore) {
        List<String> mixed = new ArrayList<>();
        for (String head : STRAY_HEADS) {
            for (int cut = 1; cut <= head.length(); cut++) {
                EventStreamMerger spoiled = new EventStreamMerger();
                add(spoiled, events(1, eventsBefore));
                String next = events(eventsBefore + 1, eventsBefore + 2);
                checkNotMixed(spoiled, head.substring(0, cut) + next, eventsBefore, mixed);
            }
        }
        assertEquals(List.of(), mixed);
    }

    // Guards against an event that goes on with the head of another response, and with its events.
    @Test
    void bytesOfAHeadWithinAnEventAreNoPartOfIt() {
        List<String> mixed = new ArrayList<>();
        String event = events(5, 5);
        for (String head : STRAY_HEADS) {
            // Within a data line, any bytes may follow.
            for (int end = 1; end <= event.indexOf(": word"); end++) {
                // Fewer bytes make a field that readers ignore.
                for (int cut = "HTTP/".length(); cut <= head.length(); cut++) {
                    EventStreamMerger spoiled = new EventStreamMerger();
                    add(spoiled, events(1, 4));
                    checkNotMixed(spoiled, event.substring(0, end) + head.substring(0, cut) + events(5, 6), 4, mixed);
                }
            }
        }
        assertEquals(List.of(), mixed);
    }

    // Guards against a data line that goes on with the head of another response, whose lines follow as fields.
    @Test
    void headWithinADataLineIsNoPartOfTheEvent() {
        List<String> mixed = new ArrayList<>();
        String event = events(5, 5);
        for (String head : STRAY_HEADS) {
            for (int end = event.indexOf("data:") + 1; end < event.length() - 1; end++) {
                for (int cut = head.indexOf('\n') + 1; cut <= head.length(); cut++) {
                    EventStreamMerger spoiled = new EventStreamMerger();
                    add(spoiled, events(1, 4));
                    checkNotMixed(spoiled, event.substring(0, end) + head.substring(0, cut) + events(5, 6), 4, mixed);
                }
            }
        }
        assertEquals(List.of(), mixed);
        String quoted = "id: 1\ndata: HTTP/1.1 200 OK\n\n";
        assertEquals(quoted, add(merger, quoted));
    }

    // Guards against an event that begins with the lines of one and ends with those of the next.
    @Test
    void anEventWithTwoNumbersBreaksTheAttempt() {
        add(merger, events(1, 4));
        assertEquals("", add(merger, "id: 5\nid: 6\ndata: word-6\n\n"));
        assertTrue(merger.isBroken());
        merger.startAttempt();
        assertEquals(events(5, 6), add(merger, events(5, 6)));
    }

    @Test
    void allLinesOfAnEventStreamAreKept() {
        for (String end : List.of("\n", "\r\n")) {
            EventStreamMerger unspoiled = new EventStreamMerger();
            String stream = String.join(
                    end,
                    "\ufeff: a comment",
                    "",
                    "citrontide-weight-versions: 7",
                    "id: 1",
                    "event: token",
                    "retry: 10",
                    "data",
                    "",
                    "id:2",
                    "x_other-field.1: a value",
                    "another",
                    "data: a: b / c",
                    "data:",
                    "",
                    ": another comment",
                    ":",
                    "",
                    "id: 3",
                    "data: x",
                    "",
                    "");
            assertEquals(stream, add(unspoiled, stream));
            assertFalse(unspoiled.isBroken());
            assertEquals(3, unspoiled.lastEventId().getAsLong());
        }
    }

    /** Adds bytes with a part of a head among them; only whole events may be returned, and the stream goes on. */
    private static void checkNotMixed(EventStreamMerger spoiled, String bytes, int eventsBefore, List<String> mixed) {
        String out = add(spoiled, bytes);
        if (!events(eventsBefore + 1, eventsBefore + 2).startsWith(out)) {
            mixed.add(out);
        }
        spoiled.startAttempt();
        if (!(out + add(spoiled, events(1, eventsBefore + 2))).equals(events(eventsBefore + 1, eventsBefore + 2))) {
            mixed.add("not resumed after " + bytes);
        }
    }

    private static String add(EventStreamMerger merger, String text) {
        return new String(merger.add(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    private static String events(int from, int to) {
        StringBuilder builder = new StringBuilder();
        for (int i = from; i <= to; i++) {
            builder.append("id: ").append(i).append("\ndata: word-").append(i).append("\n\n");
        }
        return builder.toString();
    }
}
