package org.citrontide.gateway.upstream;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that events come out whole, once and in order, however the bytes and the attempts are cut. */
final class EventCutterTest {
    private final EventCutter cutter = new EventCutter();

    @Test
    void bytesCutAnywhereGiveTheSameEvents() {
        String stream = events(1, 40);
        for (long seed = 1; seed <= 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EventCutter c = new EventCutter();
            StringBuilder out = new StringBuilder();
            for (int at = 0; at < stream.length(); ) {
                int end = Math.min(stream.length(), at + 1 + random.nextInt(30));
                out.append(add(c, stream.substring(at, end)));
                at = end;
            }
            assertEquals(stream, out.toString());
            assertTrue(c.isBetweenEvents());
        }
    }

    @Test
    void aSecondAttemptAddsOnlyWhatIsMissing() {
        add(cutter, events(1, 3) + "id: 4\nda");
        assertEquals(3, cutter.lastId().getAsLong());
        cutter.dropRest();
        assertEquals(events(4, 6), add(cutter, events(2, 6)));
        assertFalse(cutter.hasGap());
    }

    @Test
    void aMissingEventIsNoticed() {
        add(cutter, events(1, 3));
        assertEquals("", add(cutter, events(5, 6)));
        assertTrue(cutter.hasGap());
    }

    @Test
    void linesMayEndWithCarriageReturns() {
        String event = "id: 1\r\ndata: x\r\n\r\n";
        assertEquals(event, add(cutter, event));
    }

    private static String add(EventCutter c, String text) {
        return new String(c.add(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    private static String events(int from, int to) {
        StringBuilder b = new StringBuilder();
        for (int i = from; i <= to; i++) {
            b.append("id: ").append(i).append("\ndata: word-").append(i).append("\n\n");
        }
        return b.toString();
    }
}
