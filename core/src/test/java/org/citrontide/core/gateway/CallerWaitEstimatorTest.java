package org.citrontide.core.gateway;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the estimate of how long callers have waited before a request. */
final class CallerWaitEstimatorTest {
    private final CallerWaitEstimator estimator = new CallerWaitEstimator();

    @Test
    void aRequestWithLessTimeRemainingIsEstimatedToHaveWaited() {
        assertEquals(Duration.ZERO, estimator.estimateWait("r", Duration.ofMillis(8000)));
        assertEquals(Duration.ZERO, estimator.estimateWait("r", Duration.ofMillis(7950)));
        long waited = estimator.estimateWait("r", Duration.ofMillis(5300)).toMillis();
        assertTrue(waited > 2600 && waited <= 2700, waited + " ms");
    }

    @Test
    void routesAreEstimatedSeparately() {
        estimator.estimateWait("long", Duration.ofMillis(8000));
        assertEquals(Duration.ZERO, estimator.estimateWait("short", Duration.ofMillis(600)));
    }

    @Test
    void theEffectOfAnOutlierDecays() {
        estimator.estimateWait("r", Duration.ofSeconds(60));
        for (int i = 0; i < 700; i++) {
            estimator.estimateWait("r", Duration.ofSeconds(8));
        }
        assertEquals(Duration.ZERO, estimator.estimateWait("r", Duration.ofSeconds(8)));
    }
}
