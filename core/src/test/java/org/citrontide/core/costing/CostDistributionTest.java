package org.citrontide.core.costing;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an expected remainder that ignores the time already spent, and against samples that never fade. */
final class CostDistributionTest {
    private final CostDistribution distribution = new CostDistribution();

    @Test
    void aRequestBeyondTheShortModeIsExpectedToTakeTheLongOne() {
        for (int i = 0; i < 320; i++) {
            distribution.record(i % 10 == 0 ? 400 : 20, i);
        }
        assertEquals(58, distribution.mean(), 2);
        assertEquals(20, distribution.quantile(0.5), 1);
        assertEquals(400, distribution.quantile(0.95), 1);
        assertEquals(58, distribution.meanLeft(0), 2);
        assertEquals(340, distribution.meanLeft(60), 5);
    }

    @Test
    void aRequestBeyondAllSamplesIsNotExpectedToEndAtOnce() {
        distribution.record(50, 1);
        assertEquals(250, distribution.meanLeft(1000), 1);
    }

    @Test
    void recentSamplesReplaceOldOnes() {
        for (int i = 0; i < 5_000; i++) {
            distribution.record(100, i);
        }
        for (int i = 0; i < 2_000; i++) {
            distribution.record(200, 10_000);
        }
        assertTrue(distribution.mean() > 195);
        assertEquals(7_000, distribution.samples());
        assertEquals(5, distribution.ageNanos(10_005));
    }

    // The weight of a sample grows with each one, and must not overflow.
    @Test
    void theMeanStaysExactAfterManySamples() {
        for (int i = 0; i < 50_000; i++) {
            distribution.record(i % 2 == 0 ? 50 : 150, i);
        }
        assertEquals(100, distribution.mean(), 1);
    }

    @Test
    void extremeCostsAreKept() {
        distribution.record(0, 0);
        distribution.record(1e12, 0);
        assertTrue(Double.isFinite(distribution.mean()));
        assertTrue(distribution.meanLeft(0) > 0);
    }
}
