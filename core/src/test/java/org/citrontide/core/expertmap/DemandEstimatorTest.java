package org.citrontide.core.expertmap;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the estimate against noisy counts of few requests and against shifts of the demand. */
final class DemandEstimatorTest {
    private static final int EXPERTS = 64;
    private static final long MIN_SELECTIONS = 1500;
    private static final int SELECTIONS_PER_READ = 20_000;

    private final SplittableRandom random = new SplittableRandom(3);
    private final DemandEstimator demand = new DemandEstimator(1, EXPERTS);
    private final long[] counts = new long[EXPERTS];

    @Test
    void noiseIsNotDetectedAsAShift() {
        recordCounts(0);
        recordCounts(0);
        for (int i = 0; i < 20; i++) {
            recordCounts(0);
            assertTrue(demand.update(MIN_SELECTIONS));
            assertFalse(demand.hasShifted(), "read " + i);
        }
    }

    @Test
    void shiftIsDetectedInOneReadAndTheEstimateFollows() {
        recordCounts(0);
        for (int i = 0; i < 5; i++) {
            recordCounts(0);
            demand.update(MIN_SELECTIONS);
        }
        recordCounts(7);
        demand.update(MIN_SELECTIONS);
        assertTrue(demand.hasShifted());
        double[] loads = demand.loads(new double[] {1, 1}, EXPERTS).getFirst().expertLoads();
        assertEquals(hotShare(), loads[7], 0.05);
        assertTrue(loads[0] < 0.1, "the share of the old hot expert has decayed: " + loads[0]);
    }

    /** Records the selections of one read: a quarter for the hot expert, the rest evenly, with 20% noise. */
    private void recordCounts(int hot) {
        for (int e = 0; e < EXPERTS; e++) {
            double share = e == hot ? hotShare() : (1 - hotShare()) / (EXPERTS - 1);
            counts[e] += (long) (SELECTIONS_PER_READ * share * (0.8 + 0.4 * random.nextDouble()));
        }
        demand.recordCounts(0, counts);
    }

    private static double hotShare() {
        return 0.25;
    }
}
