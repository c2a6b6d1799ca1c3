package org.citrontide.core.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which evidence is removed from the store. */
final class EvidenceRetentionTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long NOW = PromptQuarantine.RETENTION.toNanos() + 1000 * SECOND;

    private final Map<String, CrashEvidence> evidence = new TreeMap<>();

    @Test
    void expiredEvidenceIsRemoved() {
        crash("old", NOW - PromptQuarantine.RETENTION.toNanos(), "a");
        crash("new", NOW - SECOND, "a");
        assertEquals(List.of("old"), EvidenceRetention.findRemovable(evidence, NOW));
    }

    @Test
    void clearedCrashesAreRemovedBeforeOlderOnes() {
        crash("against-bad", 1000 * SECOND, "bad");
        for (int i = 0; i < EvidenceRetention.MAX_COUNT; i++) {
            crash("bystander-" + i, (1001 + i) * SECOND, "part-" + i);
        }
        evidence.put("answer", new CrashEvidence.Answer("part-7", 2000 * SECOND));
        List<String> removable = EvidenceRetention.findRemovable(evidence, 2001 * SECOND);
        assertEquals("bystander-7", removable.getFirst());
        assertEquals(2, removable.size(), "as many as exceed the maximum");
    }

    @Test
    void aCrashAfterTheAnswerIsNotCleared() {
        evidence.put("answer", new CrashEvidence.Answer("bad", 1000 * SECOND));
        crash("later", 1001 * SECOND, "bad");
        for (int i = 0; i < EvidenceRetention.MAX_COUNT; i++) {
            crash("bystander-" + i, (900 + i) * SECOND, "part-" + i);
        }
        List<String> removable = EvidenceRetention.findRemovable(evidence, 2000 * SECOND);
        assertFalse(removable.contains("later"));
        assertTrue(removable.contains("bystander-0"));
    }

    private void crash(String key, long nanos, String part) {
        evidence.put(key, new CrashEvidence.Crash(key, nanos, List.of(List.of(part))));
    }
}
