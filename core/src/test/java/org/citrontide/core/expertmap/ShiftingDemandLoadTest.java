package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.List;

import org.citrontide.core.routes.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays demand that moves to other experts every two seconds on a large group, and checks the load that it carries. */
final class ShiftingDemandLoadTest {
    private static final int RANKS = 72;
    private static final EngineProfile PROFILE =
            new EngineProfile(7, 217_000, 5.85, 0.6086, 0.0617, 61_200, 6, 139, 800, 12, 144, 3, 2, 130, 180_000);
    private static final double REQUESTS_PER_SECOND = 206.6;
    private static final double EVENTS_PER_REQUEST = 23;
    private static final int DURATION_MS = 30_000;
    private static final int SEEDS = 3;
    private static final int SHIFTS = 8;
    private static final int SEARCH_STEPS = 40;

    @Test
    void oneSearchPerShiftKeepsLargeGroupBelowSkewThatWarrantsASearch() {
        RebalanceParameters parameters =
                RebalanceParameters.select(Duration.ofMillis(100), Duration.ofMillis(120), false);
        for (long seed = 1; seed <= SEEDS; seed++) {
            ShiftingDemand demand = new ShiftingDemand(PROFILE, RANKS, seed);
            GroupMap map = GroupMap.initial(demand.sets(), demand.expertsPerSet(), RANKS);
            double meanSkew = 0;
            for (int shift = 0; shift <= SHIFTS; shift++) {
                List<RankLoads> loads = demand.loadsAt((long) shift * ShiftingDemand.SHIFT_PERIOD_MS);
                map = new MapAction.SearchMap(map, loads, 2, shift + 1, parameters.minStepGain(RANKS))
                        .search(SEARCH_STEPS);
                // The first map starts from one without replicas, so that its limit of new experts binds.
                meanSkew += shift > 0 ? map.skew(loads) / SHIFTS : 0;
            }
            assertTrue(meanSkew <= parameters.minSkew(), "seed " + seed + ": mean skew " + meanSkew);
        }
    }

    @Test
    void largeGroupCarriesItsLoadWhileDemandShiftsEveryTwoSeconds() {
        double neededPassesPerSecond = REQUESTS_PER_SECOND * EVENTS_PER_REQUEST / (RANKS * PROFILE.slots());
        for (long seed = 1; seed <= SEEDS; seed++) {
            FakeGroup group = new FakeGroup(RANKS, new ShiftingDemand(PROFILE, RANKS, seed));
            MapControllerSimulation sim = new MapControllerSimulation(group, PROFILE, seed, 0, false);
            sim.setSearchSteps(SEARCH_STEPS);
            sim.setTargetGap(Duration.ofMillis(120));
            sim.runUntil(DURATION_MS);
            double passesPerSecond = group.step() * 1000.0 / DURATION_MS;
            System.out.printf(
                    "shifting demand seed=%d passes-per-s=%.2f needed=%.2f changes=%d held-ms=%d%n",
                    seed, passesPerSecond, neededPassesPerSecond, group.changes(), group.heldMs());
            assertEquals("", group.violation());
            assertTrue(
                    passesPerSecond >= neededPassesPerSecond,
                    "seed " + seed + ": " + passesPerSecond + " passes/s, " + neededPassesPerSecond + " needed");
        }
    }
}
