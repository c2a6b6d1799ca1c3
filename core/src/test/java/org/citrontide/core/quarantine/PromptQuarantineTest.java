package org.citrontide.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which parts of prompts are quarantined, and for how long. */
final class PromptQuarantineTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration TEN_MINUTES = Duration.ofMinutes(10);

    private final PromptQuarantine quarantine = new PromptQuarantine();
    private final List<CrashEvidence> evidence = new ArrayList<>();

    @Test
    void oneIncidentQuarantinesNothing() {
        crash("u1", 1 * SECOND, List.of(List.of("a", "bad")));
        crash("u2", 1 * SECOND + SECOND / 4, List.of(List.of("b", "bad")));
        assertEquals(Optional.empty(), remaining(2, "bad"));
    }

    @Test
    void aPartOfTwoIncidentsIsQuarantinedAndTheOtherPartsAreNot() {
        crash("u1", 1 * SECOND, List.of(List.of("a", "bad"), List.of("c")));
        crash("u2", 5 * SECOND, List.of(List.of("b", "bad"), List.of("c", "d")));
        crash("u3", 6 * SECOND, List.of(List.of("b", "bad")));
        assertEquals(Optional.of(TEN_MINUTES.multipliedBy(2)), remaining(6, "b", "bad"));
        assertEquals(Optional.empty(), remaining(6, "a"));
        assertEquals(Optional.empty(), remaining(6, "b"), "the crashes of b are explained by bad");
        assertEquals(Optional.empty(), remaining(6, "c"), "the crashes of c are explained by bad");
    }

    @Test
    void oneUpstreamReportedByTwoGatewaysIsOneCrash() {
        crash("u1", 1 * SECOND, List.of(List.of("bad")));
        crash("u1", 3 * SECOND, List.of(List.of("bad")));
        assertEquals(Optional.empty(), remaining(4, "bad"));
    }

    @Test
    void anAnswerClearsAPartOfEarlierCrashes() {
        crash("u1", 1 * SECOND, List.of(List.of("a")));
        assertEquals(List.of("a"), quarantine.recordAnswer(List.of("a"), 2 * SECOND));
        assertEquals(List.of(), quarantine.recordAnswer(List.of("a"), 2 * SECOND));
        crash("u2", 5 * SECOND, List.of(List.of("a")));
        crash("u3", 9 * SECOND, List.of(List.of("a")));
        assertEquals(Optional.empty(), remaining(10, "a"));
        crash("u4", 13 * SECOND, List.of(List.of("a")));
        assertEquals(Optional.of(TEN_MINUTES), remaining(13, "a"));
    }

    @Test
    void anAnswerAtAnotherGatewayEndsTheQuarantine() {
        crash("u1", 1 * SECOND, List.of(List.of("a")));
        crash("u2", 5 * SECOND, List.of(List.of("a")));
        assertTrue(remaining(6, "a").isPresent());
        evidence.add(new CrashEvidence.Answer("a", 6 * SECOND));
        quarantine.replaceEvidence(evidence, 6 * SECOND);
        assertEquals(Optional.empty(), remaining(6, "a"));
        assertFalse(quarantine.isUnproven(List.of("a")));
    }

    @Test
    void ofTwoPartsThatAlwaysCrashTogetherTheLaterOneIsQuarantined() {
        crash("u1", 1 * SECOND, List.of(List.of("a", "bad")));
        crash("u2", 5 * SECOND, List.of(List.of("a", "bad")));
        assertTrue(remaining(6, "bad").isPresent());
        assertEquals(Optional.empty(), remaining(6, "a"));
    }

    @Test
    void aCommonBeginningThatIsInFlightInEachCrashIsNotQuarantined() {
        crash("u1", 1 * SECOND, List.of(List.of("a"), List.of("b", "bad")));
        crash("u2", 5 * SECOND, List.of(List.of("a"), List.of("c", "bad")));
        assertTrue(remaining(6, "bad").isPresent());
        assertEquals(Optional.empty(), remaining(6, "a"));
    }

    @Test
    void aPartThatWasAnsweredBeforeDoesNotExplainTheCrashesOfOneThatWasNot() {
        quarantine.recordAnswer(List.of("a"), SECOND / 2);
        crash("u1", 1 * SECOND, List.of(List.of("a")));
        crash("u2", 5 * SECOND, List.of(List.of("a", "bad")));
        crash("u3", 9 * SECOND, List.of(List.of("a", "bad")));
        assertTrue(remaining(10, "bad").isPresent());
        assertEquals(Optional.empty(), remaining(10, "a"));
    }

    @Test
    void ofTwoPartsThatCannotBeToldApartBothAreQuarantined() {
        crash("u1", 1 * SECOND, List.of(List.of("a", "b"), List.of("c", "bad")));
        crash("u2", 5 * SECOND, List.of(List.of("d", "b"), List.of("e", "bad")));
        assertTrue(remaining(6, "bad").isPresent());
        assertTrue(remaining(6, "b").isPresent());
        crash("u3", 9 * SECOND, List.of(List.of("f", "bad")));
        assertTrue(remaining(10, "bad").isPresent());
        assertEquals(Optional.empty(), remaining(10, "b"));
    }

    @Test
    void eachIncidentAfterAQuarantineExtendsTheNextOneUpToAnHour() {
        crash("u1", 1 * SECOND, List.of(List.of("bad")));
        crash("u2", 5 * SECOND, List.of(List.of("bad")));
        long now = 5 * SECOND + TEN_MINUTES.toNanos();
        assertEquals(Optional.empty(), quarantine.remaining(List.of("bad"), now));
        for (long minutes : List.of(20, 40, 60, 60)) {
            crash("v" + now, now, List.of(List.of("bad")));
            assertEquals(Optional.of(Duration.ofMinutes(minutes)), quarantine.remaining(List.of("bad"), now));
            now += Duration.ofMinutes(minutes).toNanos();
        }
    }

    @Test
    void eachChangeIsReportedOnce() {
        crash("u1", 1 * SECOND, List.of(List.of("bad")));
        crash("u2", 5 * SECOND, List.of(List.of("bad")));
        assertEquals(List.of(new PromptQuarantine.Decision("bad", true, 2, 2)), quarantine.pollDecisions(6 * SECOND));
        assertEquals(List.of(), quarantine.pollDecisions(7 * SECOND));
        quarantine.replaceEvidence(List.of(), 8 * SECOND);
        assertEquals(List.of(new PromptQuarantine.Decision("bad", false, 2, 2)), quarantine.pollDecisions(8 * SECOND));
    }

    private void crash(String upstream, long nanos, List<List<String>> prompts) {
        evidence.add(new CrashEvidence.Crash(upstream, nanos, prompts));
        quarantine.replaceEvidence(evidence, nanos);
    }

    private Optional<Duration> remaining(long second, String... parts) {
        return quarantine.remaining(List.of(parts), second * SECOND);
    }
}
