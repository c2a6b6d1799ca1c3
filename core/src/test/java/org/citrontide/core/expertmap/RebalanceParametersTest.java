package org.citrontide.core.expertmap;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks how load and demand select the thresholds of rebalancing. */
final class RebalanceParametersTest {
    private static final Duration GAP = Duration.ofMillis(120);

    @Test
    void thresholdsAreLowerNearTheLimitThanFarBelowIt() {
        RebalanceParameters busy = RebalanceParameters.select(Duration.ofMillis(80), GAP, false);
        RebalanceParameters lowLoad = RebalanceParameters.select(Duration.ofMillis(40), GAP, false);
        assertTrue(busy.minSkew() < lowLoad.minSkew());
        assertTrue(busy.minGain() < lowLoad.minGain());
        assertTrue(busy.sampleInterval().compareTo(lowLoad.sampleInterval()) < 0);
    }

    @Test
    void groupWithoutTargetGapIsTreatedAsBusy() {
        assertEquals(
                RebalanceParameters.select(Duration.ofMillis(80), GAP, false),
                RebalanceParameters.select(Duration.ofMillis(40), Duration.ZERO, false));
    }

    @Test
    void steadyDemandHasTheLowestSkewThreshold() {
        RebalanceParameters steady = RebalanceParameters.select(Duration.ofMillis(40), GAP, true);
        assertTrue(steady.minSkew()
                < RebalanceParameters.select(Duration.ofMillis(80), GAP, false).minSkew());
    }
}
