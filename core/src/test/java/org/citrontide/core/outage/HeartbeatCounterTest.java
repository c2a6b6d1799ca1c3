package org.citrontide.core.outage;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks what counts as a heartbeat. */
final class HeartbeatCounterTest {
    private final HeartbeatCounter counter = new HeartbeatCounter();

    @Test
    void countsEachWriteAndThoseThatAReadSkipped() {
        counter.recordEntry("a", 10, 1);
        counter.recordEntry("b", 11, 7);
        assertEquals(new Heartbeats(Map.of(), Set.of("a", "b")), counter.take());
        counter.recordEntry("a", 12, 2);
        counter.recordEntry("a", 13, 3);
        counter.recordEntry("b", 14, 10);
        assertEquals(new Heartbeats(Map.of("a", 2L, "b", 3L), Set.of("a", "b")), counter.take());
    }

    @Test
    void anEntryThatIsReadAgainUnchangedHasNoHeartbeat() {
        counter.recordEntry("a", 10, 1);
        counter.take();
        counter.recordEntry("a", 10, 1);
        assertEquals(new Heartbeats(Map.of("a", 0L), Set.of()), counter.take());
    }

    @Test
    void aRestartOrAnOddNumberCountsAsOneHeartbeat() {
        counter.recordEntry("a", 10, 50);
        counter.recordEntry("b", 11, 1);
        counter.take();
        counter.recordEntry("a", 12, 1);
        counter.recordEntry("b", 13, Long.MAX_VALUE);
        assertEquals(new Heartbeats(Map.of("a", 1L, "b", 1L), Set.of("a", "b")), counter.take());
    }

    @Test
    void aRemovedEntryIsNotCounted() {
        counter.recordEntry("a", 10, 1);
        counter.recordEntry("b", 11, 1);
        counter.recordEntry("c", 12, 1);
        counter.take();
        counter.recordEntry("a", 13, 2);
        counter.recordRemoval("a");
        counter.retain(Set.of("b"));
        assertEquals(new Heartbeats(Map.of("b", 0L), Set.of()), counter.take());
    }
}
