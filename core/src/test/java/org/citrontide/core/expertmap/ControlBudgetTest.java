package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.citrontide.core.routes.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the decisions of {@link ControlBudget} on reads and changes, one input at a time. */
final class ControlBudgetTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(14, 217_000, 5.85, 0.6086, 0.0617, 61_200, 6, 139, 800, 8, 252, 6, 2, 320, 180_000);
    private static final Duration GAP = Duration.ofMillis(120);
    private static final Duration LOW = Duration.ofMillis(48);
    private static final Duration USUAL = Duration.ofMillis(700);
    private static final long MS = 1_000_000;
    private static final int RANKS = 63;
    private static final int SAMPLED = 2;
    private static final int RUNNING = 3;
    private static final int MOVED = 100;

    private final ControlBudget budget = budget(ControlCosts.MEASURED);

    /** Guards against reads at the usual interval while nothing that they could show matters. */
    @Test
    void steadyDemandFarBelowTheGapIsReadRarely() {
        recordSteadySamples(budget, LOW);
        assertEquals(SAMPLED, readAt(3_000));
        assertEquals(0, readAt(3_700));
        assertEquals(0, readAt(4_000));
        assertEquals(SAMPLED, readAt(7_100));
    }

    /** Guards against a slower reaction near the target gap, and against a change of deployments without prices. */
    @Test
    void usualReadsAreKeptNearTheGapWithoutGapAndWithoutPrices() {
        recordSteadySamples(budget, Duration.ofMillis(80));
        ControlBudget noPrices = budget(ControlCosts.NONE);
        recordSteadySamples(noPrices, LOW);
        ControlBudget noGap = budget(ControlCosts.MEASURED);
        for (int i = 0; i < 5; i++) {
            noGap.updatePassTime(LOW, Duration.ZERO, i * 500 * MS);
            noGap.recordSample(false, false, i * 500 * MS);
        }
        for (ControlBudget b : new ControlBudget[] {budget, noPrices, noGap}) {
            assertEquals(SAMPLED, b.ranksToRead(SAMPLED, USUAL, new EventContext(3_000 * MS)));
            assertEquals(SAMPLED, b.ranksToRead(SAMPLED, USUAL, new EventContext(3_250 * MS)));
            assertEquals(USUAL, b.decisionInterval(USUAL, 3_250 * MS));
        }
    }

    /** Guards against a shift that goes unnoticed until the next read: it lengthens the passes of the same requests. */
    @Test
    void longerPassesOfTheSameRequestsCauseARead() {
        recordSteadySamples(budget, LOW);
        assertEquals(SAMPLED, readAt(3_000));
        report(100, 3_000, RUNNING);
        report(110, 3_480, RUNNING);
        assertEquals(0, readAt(3_500));
        report(117, 3_970, RUNNING);
        assertEquals(SAMPLED, readAt(4_000));
    }

    /** Guards against reads after a mere rise of the load. */
    @Test
    void longerPassesOfMoreRequestsCauseNoRead() {
        recordSteadySamples(budget, LOW);
        assertEquals(SAMPLED, readAt(3_000));
        report(100, 3_000, RUNNING);
        report(110, 3_480, RUNNING);
        report(117, 3_900, 8);
        assertEquals(0, readAt(4_000));
    }

    /** Guards against a held, broken or restarted group that is noticed only at the next read. */
    @Test
    void missingPassesAndUnansweredReportsCauseARead() {
        recordSteadySamples(budget, LOW);
        assertEquals(SAMPLED, readAt(3_000));
        report(100, 3_000, RUNNING);
        report(100, 3_250, RUNNING);
        assertEquals(0, readAt(3_250));
        report(100, 3_500, RUNNING);
        assertEquals(SAMPLED, readAt(3_500));
        budget.recordReport(Optional.empty(), GAP, 3_750 * MS);
        assertEquals(SAMPLED, readAt(3_750));
        report(1, 4_000, RUNNING);
        assertEquals(SAMPLED, readAt(4_000));
    }

    /** Guards against several changes for one shift: the first would follow an estimate that isn't confirmed. */
    @Test
    void searchWaitsUntilAShiftIsConfirmed() {
        recordSteadySamples(budget, LOW);
        assertTrue(budget.maySearch(3_000 * MS));
        budget.recordSample(true, false, 3_500 * MS);
        assertFalse(budget.maySearch(3_500 * MS));
        assertEquals(SAMPLED, readAt(3_500));
        budget.recordSample(false, false, 4_200 * MS);
        assertTrue(budget.maySearch(4_200 * MS));
        budget.updatePassTime(GAP, GAP, 5_000 * MS);
        budget.recordSample(true, false, 5_000 * MS);
        assertTrue(budget.maySearch(5_000 * MS), "passes near the gap do not wait");
    }

    /** Guards against copies for a gain that makes no stream late or on time, or that follows chance. */
    @Test
    void changePaysOnlyIfItsGainMattersLongEnough() {
        recordSteadySamples(budget, LOW);
        for (int i = 0; i < 20; i++) {
            report(5 * i, 240 * i, RUNNING);
        }
        assertFalse(pays(0.03, 0, 5_000));
        assertTrue(pays(0.2, 0, 5_000), "bursts fill all slots");
        assertFalse(pays(0.2, 0.4, 5_000), "the gain follows chance");
        assertTrue(pays(0.03, 0, 40_000), "steady demand is expected to last");
    }

    private boolean pays(double gain, double noise, long nowMs) {
        return budget.paysOff(gain, noise, MOVED, SAMPLED, new EventContext(nowMs * MS));
    }

    private int readAt(long nowMs) {
        return budget.ranksToRead(SAMPLED, USUAL, new EventContext(nowMs * MS));
    }

    private void report(long step, long nowMs, int running) {
        OptionalLong none = OptionalLong.empty();
        RankReport report = new RankReport("g", 1, 0, RANKS, true, step, 1, none, none, none, 1, running, 0);
        budget.recordReport(Optional.of(report), GAP, nowMs * MS);
    }

    private static ControlBudget budget(ControlCosts costs) {
        ControlBudget b = new ControlBudget(PROFILE, costs, 0);
        b.reset(RANKS);
        return b;
    }

    private static void recordSteadySamples(ControlBudget b, Duration passTime) {
        for (int i = 0; i < 5; i++) {
            b.updatePassTime(passTime, GAP, i * 500 * MS);
            b.recordSample(false, false, i * 500 * MS);
        }
    }
}
