package org.citrontide.gateway.upstream;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that each event is returned complete, once and in order, wherever the bytes and the attempts are split. */
final class EventStreamMergerTest {
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
