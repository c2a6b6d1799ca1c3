package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.citrontide.core.routes.EngineProfile;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Compares a group whose control is priced with the same group and seed without prices, over days of 40 s.
 *
 * <p>The fake group copies experts at the rate of the link and is paused by reads of counts.
 */
final class ControlBudgetLoadTest {
    private static final int DURATION_MS = 40_000;
    private static final int TARGET_GAP_MS = 120;
    private static final int SEARCH_STEPS = 40;
    private static final int SEEDS = 3;
    private static final int SLOTS = 14;
    private static final int FAULT_SEEDS = 100;
    private static final int RECOVERY_MS = 20_000;
    private static final int LOW_LOAD = 3;
    private static final double SHIFTED_FRACTION = 0.6;
    private static final int SHIFT_PERIOD_MS = 3500;
    private static final int BURST_PERIOD_MS = 10_000;
    private static final List<Integer> SEVERAL_SHIFTS = IntStream.range(1, DURATION_MS / SHIFT_PERIOD_MS + 1)
            .mapToObj(i -> i * SHIFT_PERIOD_MS)
            .toList();

    /** What the control of a group did and cost, as a sum over the seeds. */
    private record Outcome(int reads, int movedExperts, int orders, int longPasses) {
        private Outcome plus(Outcome o) {
            return new Outcome(
                    reads + o.reads, movedExperts + o.movedExperts, orders + o.orders, longPasses + o.longPasses);
        }
    }

    /** Guards against reads and moves that steady demand far below the target gap doesn't need. */
    @ParameterizedTest
    @ValueSource(ints = {8, 16, 32, 63, 72})
    void steadyDemandAtLowLoadNeedsHalfOfTheReadsAndMoves(int ranks) {
        assertHalfTheCost(ranks, new ShiftingDemand.Course(List.of(), SHIFTED_FRACTION, lowLoad(ranks), 0));
    }

    /** Guards against reads and moves that a single shift of demand far below the target gap doesn't need. */
    @ParameterizedTest
    @ValueSource(ints = {8, 16, 32, 63})
    void seldomShiftsAtLowLoadNeedHalfOfTheReadsAndMoves(int ranks) {
        assertHalfTheCost(ranks, seldomShift(ranks));
    }

    /** Guards against the same in a group of 72 ranks. */
    @Test
    @Tag("known-red")
    void seldomShiftsOf72RanksNeedHalfOfTheReadsAndMoves() {
        assertHalfTheCost(72, seldomShift(72));
    }

    /**
     * Guards against reads that change no decision, where a day has too few changes to halve (4 ranks: one or two) or
     * passes are near the target gap for a third of the day (192 ranks).
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 192})
    void steadyDemandNeedsFewerReadsAndMoves(int ranks) {
        ShiftingDemand.Course course = new ShiftingDemand.Course(List.of(), SHIFTED_FRACTION, lowLoad(ranks), 0);
        Outcome thresholds = run("steady-low", ranks, course, ControlCosts.NONE);
        Outcome priced = run("steady-low", ranks, course, ControlCosts.MEASURED);
        String both = thresholds + " -> " + priced;
        assertTrue(priced.reads() <= 0.65 * thresholds.reads(), both);
        assertTrue(priced.movedExperts() <= 0.8 * thresholds.movedExperts(), both);
        assertTrue(priced.orders() <= 0.8 * thresholds.orders(), both);
        assertTrue(priced.longPasses() <= thresholds.longPasses(), both);
    }

    /** Guards against a slower reaction where passes are near the target gap: there, the thresholds decide. */
    @ParameterizedTest
    @ValueSource(ints = {4, 8, 16, 32, 63, 72, 192})
    void frequentShiftsAtHighLoadCauseNoMoreLongPasses(int ranks) {
        ShiftingDemand.Course course = new ShiftingDemand.Course(SEVERAL_SHIFTS, SHIFTED_FRACTION, SLOTS, 0);
        Outcome thresholds = run("shift-high", ranks, course, ControlCosts.NONE);
        Outcome priced = run("shift-high", ranks, course, ControlCosts.MEASURED);
        assertTrue(thresholds.longPasses() > 0, "the load is not near the target gap");
        assertTrue(priced.longPasses() <= thresholds.longPasses(), thresholds + " -> " + priced);
    }

    /** Guards against maps so outdated that a burst, which fills all slots, finds longer passes. */
    @Test
    @Tag("known-red")
    void burstsFindNoMoreLongPasses() {
        ShiftingDemand.Course course =
                new ShiftingDemand.Course(List.of(13_000, 26_000), SHIFTED_FRACTION, LOW_LOAD, BURST_PERIOD_MS);
        Outcome thresholds = new Outcome(0, 0, 0, 0);
        Outcome priced = thresholds;
        for (int ranks : new int[] {8, 16, 32, 63}) {
            thresholds = thresholds.plus(run("burst", ranks, course, ControlCosts.NONE));
            priced = priced.plus(run("burst", ranks, course, ControlCosts.MEASURED));
        }
        assertTrue(priced.longPasses() <= thresholds.longPasses(), thresholds + " -> " + priced);
        assertTrue(priced.reads() < thresholds.reads(), thresholds + " -> " + priced);
    }

    /** Guards against two maps in a pass, or a held group, if reads are skipped while the leader or calls fail. */
    @Test
    void skippedReadsLeaveNoGroupHeldUnderFaults() {
        EngineProfile small = profile(1, 16, 6, 1);
        int changes = 0;
        for (long seed = 1; seed <= FAULT_SEEDS; seed++) {
            FakeGroup group = new FakeGroup(4, 16);
            MapControllerSimulation sim =
                    new MapControllerSimulation(group, small, seed, 0.35, true, ControlCosts.MEASURED);
            sim.setTargetGap(Duration.ofMillis(TARGET_GAP_MS));
            sim.runUntil(MapControllerSimulation.FAULT_PERIOD_MS + RECOVERY_MS);
            assertEquals("", group.violation(), "seed " + seed);
            assertFalse(group.isHeld(), "seed " + seed + ": the group is still held");
            changes += group.changes();
        }
        assertTrue(changes > FAULT_SEEDS, changes + " map changes in total");
    }

    /** Guards against a log that grows with the ticks. */
    @Test
    void decisionsAreLoggedAtMostOncePerSecond() {
        FakeGroup group = group(8, 1, new ShiftingDemand.Course(List.of(), SHIFTED_FRACTION, LOW_LOAD, 0));
        MapControllerSimulation sim =
                new MapControllerSimulation(group, profile(8), 1, 0, false, ControlCosts.MEASURED);
        sim.setTargetGap(Duration.ofMillis(TARGET_GAP_MS));
        sim.runUntil(DURATION_MS);
        List<Long> times = sim.decisions().stream()
                .map(d -> Long.parseLong(d.substring(0, d.indexOf(' '))))
                .toList();
        assertTrue(times.size() > DURATION_MS / 4000, sim.decisions().toString());
        for (int i = 1; i < times.size(); i++) {
            assertTrue(times.get(i) - times.get(i - 1) >= 1000, sim.decisions().toString());
        }
    }

    private static ShiftingDemand.Course seldomShift(int ranks) {
        return new ShiftingDemand.Course(List.of(DURATION_MS / 2), SHIFTED_FRACTION, lowLoad(ranks), 0);
    }

    private static void assertHalfTheCost(int ranks, ShiftingDemand.Course course) {
        String name = course.shiftTimesMs().isEmpty() ? "steady-low" : "seldom-low";
        Outcome thresholds = run(name, ranks, course, ControlCosts.NONE);
        Outcome priced = run(name, ranks, course, ControlCosts.MEASURED);
        String both = thresholds + " -> " + priced;
        assertTrue(priced.reads() <= thresholds.reads() / 2, both);
        assertTrue(priced.movedExperts() <= thresholds.movedExperts() / 2, both);
        assertTrue(priced.orders() <= thresholds.orders() / 2, both);
        assertTrue(priced.longPasses() <= thresholds.longPasses(), both);
    }

    private static Outcome run(String name, int ranks, ShiftingDemand.Course course, ControlCosts costs) {
        Outcome sum = new Outcome(0, 0, 0, 0);
        for (long seed = 1; seed <= SEEDS; seed++) {
            FakeGroup group = group(ranks, seed, course);
            MapControllerSimulation sim = new MapControllerSimulation(group, profile(ranks), seed, 0, false, costs);
            sim.setSearchSteps(SEARCH_STEPS);
            sim.setTargetGap(Duration.ofMillis(TARGET_GAP_MS));
            sim.runUntil(DURATION_MS);
            assertEquals("", group.violation());
            sum = sum.plus(new Outcome(group.countReads(), group.movedExperts(), group.orders(), group.longPasses()));
        }
        System.out.printf("control cost ranks=%d course=%s priced=%b %s%n", ranks, name, costs.isPriced(), sum);
        return sum;
    }

    private static FakeGroup group(int ranks, long seed, ShiftingDemand.Course course) {
        FakeGroup group = new FakeGroup(ranks, new ShiftingDemand(profile(ranks), ranks, seed, course));
        group.setTargetGapMs(TARGET_GAP_MS);
        return group;
    }

    /** Returns few enough requests per rank that passes are far below the target gap with two experts on each rank. */
    private static int lowLoad(int ranks) {
        return ranks > 100 ? 1 : LOW_LOAD;
    }

    private static EngineProfile profile(int ranks) {
        return switch (ranks) {
            case 4 -> profile(8, 60, 20, 320);
            case 8 -> profile(4, 64, 10, 320);
            case 16 -> profile(8, 128, 10, 320);
            case 32 -> profile(8, 128, 6, 320);
            case 63 -> profile(8, 252, 6, 320);
            case 72 -> profile(12, 144, 3, 130);
            default -> profile(2, 384, 4, 130);
        };
    }

    private static EngineProfile profile(int sets, int experts, int perRank, double megabytes) {
        return new EngineProfile(
                SLOTS, 217_000, 5.85, 0.6086, 0.0617, 61_200, 6, 139, 800, sets, experts, perRank, 2, megabytes,
                180_000);
    }
}
