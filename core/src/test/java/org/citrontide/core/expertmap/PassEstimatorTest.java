package org.citrontide.core.expertmap;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests how reads that show no new pass are counted. */
final class PassEstimatorTest {
    private static final long MS = 1_000_000;

    /** Guards against a group that stays held because a pass counts as started that a rank refused to hold. */
    @Test
    void readsThatContradictAnImpliedPassCountAsUnchanged() {
        PassEstimator estimator = new PassEstimator();
        estimator.reset(170, 0);
        estimator.advanceTo(187, 100 * MS);
        estimator.recordStep(170, 200 * MS);
        estimator.recordStep(170, 300 * MS);
        assertEquals(2, estimator.unchangedReads());
        estimator.recordStep(188, 400 * MS);
        assertEquals(0, estimator.unchangedReads());
        estimator.recordStep(187, 500 * MS);
        assertEquals(0, estimator.unchangedReads(), "an outdated read says nothing");
    }
}
