package org.citrontide.core.warmup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ColdRule;
import org.citrontide.core.routes.ListedUpstream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an upstream that is taken for a warm or a cold one because of an old or missing statement. */
final class ColdUpstreamsTest {
    private static final long MS = 1_000_000;
    // Starts of instances in Unix ms; the epoch is at 0 of the monotonic clock.
    private static final long OLD = 1;

    private final ColdUpstreams cold = new ColdUpstreams(new ColdSettings(1.5, 5), new SplittableRandom(1));

    @BeforeEach
    void setUp() {
        cold.setRules(Map.of("s", new ColdRule(Duration.ofSeconds(3), 2)), 0);
        cold.setOrder(new TurnOrder(0, 8, 0, true), 0);
    }

    @Test
    void aServiceWithoutARuleIsNotLimited() {
        cold.setRules(Map.of(), 100_000 * MS);
        update(100_000, entry("a", OLD, 3_000, 100_000));
        assertFalse(isLimited("a", 100_000));
        assertEquals(List.of(), cold.pollChanges(100_000 * MS));
    }

    @Test
    void anEntrySaysHowLongAnUpstreamStaysCold() {
        update(100_000, entry("a", OLD, 2_000, 100_000), entry("b", OLD, 0, 100_000));
        assertTrue(isLimited("a", 101_999));
        assertFalse(isLimited("b", 100_000));
        ColdChange change = cold.pollChanges(100_500 * MS).getFirst();
        assertEquals(ColdChange.Phase.COLD, change.phase());
        assertEquals(ColdStatus.Source.ENTRY, change.source());
        assertEquals(Duration.ofMillis(500), change.age());
        assertEquals(Duration.ofMillis(1_500), change.remaining());
        assertEquals(1, change.coldUpstreams());
    }

    @Test
    void anUpstreamIsNeverColdForLongerThanItsServiceSays() {
        update(100_000, entry("a", OLD, 80_000_000, 100_000));
        assertTrue(isLimited("a", 102_999));
        assertFalse(isLimited("a", 103_750));
    }

    @Test
    void theReturnToWarmHasStages() {
        update(100_000, entry("a", OLD, 2_000, 100_000));
        List<ColdChange.Phase> phases = new ArrayList<>();
        for (int ms = 100_000; ms < 104_000; ms += 50) {
            cold.pollChanges(ms * MS).forEach(c -> phases.add(c.phase()));
        }
        assertEquals(List.of(ColdChange.Phase.COLD, ColdChange.Phase.WARMING, ColdChange.Phase.WARM), phases);
        update(110_000, entry("a", OLD, 2_000, 110_000));
        double coldRate = rate(111_000);
        assertEquals(2 * coldRate, rate(112_000), 0.001);
        assertEquals(4 * coldRate, rate(112_300), 0.001);
        assertEquals(8 * coldRate, rate(112_600), 0.001);
    }

    // A response can report a new cold time while the entries read afterwards were written before it.
    @Test
    void anEntryThatMayBeOlderThanAResponseDoesNotEndAColdTime() {
        update(100_000, entry("a", OLD, 0, 100_000));
        cold.recordResponse(entry("a", OLD, 0, 0), Duration.ofMillis(3_000), 101_000 * MS);
        update(101_500, entry("a", OLD, 0, 101_500));
        assertTrue(isLimited("a", 101_500));
        update(103_500, entry("a", OLD, 0, 103_500));
        assertFalse(isLimited("a", 104_250));
    }

    @Test
    void aLaterResponseEndsAColdTimeAndRepeatingItDoesNotRestartTheWarming() {
        update(100_000, entry("a", OLD, 3_000, 100_000));
        for (int ms = 101_000; ms < 101_750; ms += 50) {
            cold.recordResponse(entry("a", OLD, 0, 0), Duration.ZERO, ms * MS);
        }
        assertFalse(isLimited("a", 101_750));
    }

    @Test
    void aResponseOfAnEarlierInstanceSaysNothing() {
        update(100_000, entry("a", OLD, 0, 100_000));
        update(101_000, entry("a", 101_000, 3_000, 101_000));
        cold.recordResponse(entry("a", OLD, 0, 0), Duration.ZERO, 101_500 * MS);
        assertTrue(isLimited("a", 102_500));
    }

    @Test
    void anInstanceOfUnknownStatusIsColdWhileItIsYoung() {
        update(100_000, silent("old", OLD), silent("young", 99_000), silent("undated", 0));
        assertFalse(isLimited("old", 100_000));
        assertFalse(isLimited("undated", 100_000));
        assertTrue(isLimited("young", 100_000));
        assertFalse(isLimited("young", 102_750));
    }

    @Test
    void anInstanceOfUnknownStatusThatComesBackIsCold() {
        update(100_000, silent("a", OLD), silent("b", OLD));
        update(101_000, silent("b", OLD));
        update(102_000, silent("a", OLD), silent("b", OLD));
        assertTrue(isLimited("a", 104_900));
        assertFalse(isLimited("b", 102_000));
    }

    @Test
    void upstreamsThatReturnTogetherAreColdAlthoughTheirEntriesSayOtherwise() {
        update(100_000, entry("a", OLD, 0, 100_000), entry("b", OLD, 0, 100_000), entry("c", OLD, 0, 100_000));
        update(101_000, entry("c", OLD, 0, 100_000));
        update(110_000, entry("a", OLD, 0, 110_000), entry("b", OLD, 0, 110_000), entry("c", OLD, 0, 110_000));
        assertTrue(isLimited("a", 110_000));
        assertTrue(isLimited("b", 110_000));
        assertFalse(isLimited("c", 110_000));
    }

    // Guards against a gauge that keeps its value after the upstream, or the rule, is gone.
    @Test
    void anUpstreamThatIsNoLongerLimitedIsReportedOnce() {
        update(100_000, entry("a", OLD, 3_000, 100_000), entry("b", OLD, 3_000, 100_000));
        assertEquals(2, cold.pollChanges(100_000 * MS).getLast().coldUpstreams());
        update(100_100, entry("b", OLD, 3_000, 100_000));
        assertEquals(List.of("a 1"), reportWarm(100_100));
        update(100_200, entry("b", 100_200, 0, 100_200));
        assertEquals(List.of("b 0"), reportWarm(100_200));
        update(100_300, entry("b", 100_300, 3_000, 100_300));
        assertEquals(1, cold.pollChanges(100_300 * MS).size());
        cold.setRules(Map.of(), 100_400 * MS);
        assertEquals(List.of("b 0"), reportWarm(100_400));
        assertEquals(List.of(), reportWarm(100_500));
    }

    private List<String> reportWarm(int ms) {
        return cold.pollChanges(ms * MS).stream()
                .filter(c -> c.phase() == ColdChange.Phase.WARM)
                .map(c -> c.upstream().id() + " " + c.coldUpstreams())
                .toList();
    }

    @Test
    void upstreamsOfAReturnedZoneAreCold() {
        update(100_000, entry("a", OLD, 0, 100_000));
        cold.recordReturn(Set.of("other"), 101_000 * MS);
        assertFalse(isLimited("a", 101_000));
        cold.recordReturn(Set.of("z"), 101_000 * MS);
        assertTrue(isLimited("a", 103_900));
        assertEquals(
                ColdStatus.Source.ZONE,
                cold.pollChanges(102_000 * MS).getFirst().source());
    }

    // Sends until no turn is left, which an upstream without a limit always has.
    private boolean isLimited(String id, int ms) {
        ListedUpstream u = silent(id, OLD);
        for (int i = 0; i < 100; i++) {
            if (cold.nextOpenNanos(u, ms * MS) > ms * MS) {
                return true;
            }
            cold.recordSent(u, ms * MS);
        }
        return false;
    }

    private double rate(int ms) {
        return cold.ratePerSecond(silent("a", OLD), ms * MS);
    }

    private void update(int ms, ListedUpstream... list) {
        cold.updateEntries(List.of(list), ms * MS);
    }

    private static ListedUpstream silent(String id, long startedMillis) {
        return new ListedUpstream(id, "s", "10.0.0.1", 80, "z", 4, false, startedMillis);
    }

    private static ListedUpstream entry(String id, long startedMillis, long coldMillis, long receivedMs) {
        return new ListedUpstream(
                id,
                "s",
                "10.0.0.1",
                80,
                "z",
                4,
                false,
                startedMillis,
                Optional.of(Duration.ofMillis(coldMillis)),
                receivedMs * MS);
    }
}
