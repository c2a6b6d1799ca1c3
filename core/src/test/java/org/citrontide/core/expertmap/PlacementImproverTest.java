package org.citrontide.core.expertmap;

import java.util.Arrays;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks rounds of small steps against demand for a few hot experts. */
final class PlacementImproverTest {
    private static final int RANKS = 16;
    private static final int EXPERTS = 64;
    private static final int SLOTS_PER_RANK = 5;
    private static final int NEW_PER_RANK = 2;
    private static final int SEARCH_STEPS = 40;
    // The threshold for steady demand.
    private static final double MIN_GAIN = 0.001;

    @Test
    void repeatedSearchesReduceTheSkewDespiteTheLimitOfNewExperts() {
        for (long seed = 1; seed <= 30; seed++) {
            RankLoads loads = loads(seed);
            ExpertMap map = GroupMap.initial(1, EXPERTS, RANKS).sets().getFirst();
            double before = map.skew(loads);
            for (int round = 0; round < 6; round++) {
                map = new PlacementImprover(map, loads, NEW_PER_RANK).improve(SEARCH_STEPS, MIN_GAIN);
            }
            assertTrue(map.skew(loads) < 1.15, "seed " + seed + ": " + before + " to " + map.skew(loads));
        }
    }

    @Test
    void everyExpertStaysOnARankAndNoRankExceedsItsLimitOfNewExperts() {
        for (long seed = 1; seed <= 30; seed++) {
            ExpertMap from = GroupMap.initial(1, EXPERTS, RANKS).sets().getFirst();
            ExpertMap to = new PlacementImprover(from, loads(seed), NEW_PER_RANK).improve(SEARCH_STEPS, MIN_GAIN);
            boolean[] present = new boolean[EXPERTS];
            for (int r = 0; r < RANKS; r++) {
                int[] held = to.experts()[r];
                assertTrue(held.length <= SLOTS_PER_RANK, "rank " + r + " holds " + held.length);
                assertEquals(
                        held.length, Arrays.stream(held).distinct().count(), "rank " + r + " holds an expert twice");
                int[] old = from.experts()[r];
                long added = Arrays.stream(held)
                        .filter(e -> Arrays.stream(old).noneMatch(o -> o == e))
                        .count();
                assertTrue(added <= NEW_PER_RANK, "rank " + r + " adds " + added);
                Arrays.stream(held).forEach(e -> present[e] = true);
            }
            for (int e = 0; e < EXPERTS; e++) {
                assertTrue(present[e], "expert " + e + " is on no rank");
            }
        }
    }

    @Test
    void slowRankReceivesLessLoad() {
        double[] speeds = new double[RANKS];
        Arrays.fill(speeds, 1);
        speeds[3] = 0.5;
        RankLoads loads = new RankLoads(uniform(), speeds, SLOTS_PER_RANK);
        ExpertMap map = GroupMap.initial(1, EXPERTS, RANKS).sets().getFirst();
        double before = map.stepTime(loads);
        for (int round = 0; round < 3; round++) {
            map = new PlacementImprover(map, loads, NEW_PER_RANK).improve(SEARCH_STEPS, MIN_GAIN);
        }
        assertTrue(map.stepTime(loads) < 0.7 * before, before + " to " + map.stepTime(loads));
    }

    @Test
    void balancedGroupIsNotChanged() {
        double[] speeds = new double[RANKS];
        Arrays.fill(speeds, 1);
        ExpertMap from = GroupMap.initial(1, EXPERTS, RANKS).sets().getFirst();
        RankLoads loads = new RankLoads(uniform(), speeds, SLOTS_PER_RANK);
        assertEquals(
                0,
                new PlacementImprover(from, loads, NEW_PER_RANK)
                        .improve(SEARCH_STEPS, MIN_GAIN)
                        .countMovesFrom(from));
    }

    private static double[] uniform() {
        double[] loads = new double[EXPERTS];
        Arrays.fill(loads, 1);
        return loads;
    }

    /** Returns a Zipf-like demand over the experts in random order. */
    private static RankLoads loads(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] loads = new double[EXPERTS];
        for (int e = 0; e < EXPERTS; e++) {
            int other = random.nextInt(e + 1);
            loads[e] = loads[other];
            loads[other] = Math.pow(1 + e, -1.1);
        }
        double[] speeds = new double[RANKS];
        Arrays.fill(speeds, 1);
        return new RankLoads(loads, speeds, SLOTS_PER_RANK);
    }
}
