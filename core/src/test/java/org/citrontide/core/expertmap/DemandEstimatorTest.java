package org.citrontide.core.expertmap;

import java.util.Arrays;
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
    private static final int READS = 40;
    private static final int REQUESTS_PER_READ = 6;
    private static final int TOPICS = 9;
    private static final double TOPIC_SHARE = 0.35;

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

    @Test
    void differencesBetweenReadsOfFewRequestsAreRarelyTakenForAShift() {
        recordTopics(0);
        int shifts = 0;
        double meanError = 0;
        for (int i = 0; i < READS; i++) {
            recordTopics(0);
            demand.update(MIN_SELECTIONS);
            shifts += demand.hasShifted() ? 1 : 0;
            meanError += i >= READS / 2 ? 2 * error(0) / READS : 0;
        }
        assertTrue(shifts <= READS / 10, shifts + " shifts in " + READS + " reads");
        assertTrue(meanError < 0.1, "mean error " + meanError);
    }

    @Test
    void shiftOfADemandOfFewRequestsIsRecognizedWithinTwoReads() {
        recordTopics(0);
        for (int i = 0; i < READS; i++) {
            recordTopics(0);
            demand.update(MIN_SELECTIONS);
        }
        boolean hasShifted = false;
        for (int i = 0; i < 2; i++) {
            recordTopics(EXPERTS / 2);
            demand.update(MIN_SELECTIONS);
            hasShifted |= demand.hasShifted();
        }
        assertTrue(hasShifted);
        assertTrue(error(EXPERTS / 2) < 0.25, "error " + error(EXPERTS / 2));
    }

    /** Records a read of a few requests, a third of whose selections are of experts that their topic prefers. */
    private void recordTopics(int firstExpert) {
        for (int request = 0; request < REQUESTS_PER_READ; request++) {
            int topic = random.nextInt(TOPICS);
            for (int e = 0; e < TOPICS; e++) {
                double share = (1 - TOPIC_SHARE) / TOPICS + (e == topic ? TOPIC_SHARE : 0);
                counts[firstExpert + e] += (long) (SELECTIONS_PER_READ * share);
            }
        }
        demand.recordCounts(0, counts);
    }

    /** Returns the fraction of the estimate that differs from the mean demand of {@link #recordTopics}. */
    private double error(int firstExpert) {
        double[] loads = demand.loads(new double[] {1, 1}, EXPERTS).getFirst().expertLoads();
        double sum = Arrays.stream(loads).sum();
        double error = 0;
        for (int e = 0; e < EXPERTS; e++) {
            boolean isUsed = e >= firstExpert && e < firstExpert + TOPICS;
            double floor = (sum - 1) / EXPERTS;
            error += Math.max(0, loads[e] - floor - (isUsed ? 1.0 / TOPICS : 0));
        }
        return error;
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
