package org.citrontide.gateway.store;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.platform.DecodeException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests the evidence as it is stored, and its times on another VM. */
final class CrashEvidenceCodecTest {
    private static final long MS = 1_000_000;

    @Test
    void aCrashKeepsItsAgeOnAVmWithAnotherMonotonicClock() throws DecodeException {
        CrashEvidence crash = new CrashEvidence.Crash("u1@10.0.0.1:80#7", 5000 * MS, List.of(List.of("a", "b")));
        byte[] body = CrashEvidenceCodec.encode(crash, 6000 * MS, 1_700_000_000_000L);
        assertEquals(
                new CrashEvidence.Crash("u1@10.0.0.1:80#7", 88_000 * MS, List.of(List.of("a", "b"))),
                CrashEvidenceCodec.decode(body, 90_000 * MS, 1_700_000_001_000L));
    }

    @Test
    void anAnswerOfAVmWhoseClockIsAheadIsNotInTheFuture() throws DecodeException {
        byte[] body = CrashEvidenceCodec.encode(new CrashEvidence.Answer("a", 5000 * MS), 5000 * MS, 2_000L);
        assertEquals(new CrashEvidence.Answer("a", 70 * MS), CrashEvidenceCodec.decode(body, 70 * MS, 1_000L));
    }

    @Test
    void evidenceThatIsNeitherACrashNorAnAnswerIsRejected() {
        for (String text : List.of("", "7", "{\"unix_ms\":1}", "{\"answered_part\":\"a\"}", "{\"unix_ms\":\"1\"")) {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            assertThrows(DecodeException.class, () -> CrashEvidenceCodec.decode(body, 0, 0), text);
        }
    }
}
