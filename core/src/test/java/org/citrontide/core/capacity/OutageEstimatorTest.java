package org.citrontide.core.capacity;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against estimates from no or outdated experience, which turn away callers that can be served. */
final class OutageEstimatorTest {
    private final OutageEstimator estimator = new OutageEstimator();

    @Test
    void nothingIsEstimatedWithoutAnEarlierOutage() {
        assertEquals(Optional.empty(), estimator.estimate(Duration.ZERO));
        estimator.record(Duration.ofMillis(100));
        assertEquals(Optional.empty(), estimator.estimate(Duration.ZERO));
    }

    @Test
    void onlyLongerOutagesTellTheEndOfThePresentOne() {
        estimator.record(Duration.ofSeconds(5));
        estimator.record(Duration.ofSeconds(2));
        OutageEstimator.Estimate early =
                estimator.estimate(Duration.ofSeconds(1)).orElseThrow();
        assertEquals(Duration.ofMillis(1800), early.earliest());
        assertEquals(Duration.ofMillis(5500), early.latest());
        OutageEstimator.Estimate later =
                estimator.estimate(Duration.ofSeconds(3)).orElseThrow();
        assertEquals(Duration.ofMillis(4500), later.earliest());
        assertEquals(Optional.empty(), estimator.estimate(Duration.ofSeconds(5)));
    }

    @Test
    void oldOutagesAreForgotten() {
        estimator.record(Duration.ofSeconds(60));
        for (int i = 0; i < OutageEstimator.MAX_OUTAGES; i++) {
            estimator.record(Duration.ofSeconds(5));
        }
        assertTrue(estimator.estimate(Duration.ofSeconds(6)).isEmpty());
    }
}
