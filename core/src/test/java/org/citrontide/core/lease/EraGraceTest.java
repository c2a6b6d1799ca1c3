package org.citrontide.core.lease;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests how long candidacies wait after a change of the store's era. */
final class EraGraceTest {
    private static final long MS = 1_000_000;

    private final EraGrace grace = new EraGrace(Duration.ofMillis(2000));

    /** Guards against a second leader while the one of the era before still relies on its lost lease. */
    @Test
    void candidaciesWaitForTheTimeToLiveOfALeaseOfTheEraBefore() {
        grace.recordEra(3, 1000 * MS);
        grace.recordEra(3, 2000 * MS);
        assertEquals(Duration.ofMillis(1), grace.remaining(2999 * MS));
        assertEquals(Duration.ZERO, grace.remaining(3000 * MS));
        grace.recordEra(4, 5000 * MS);
        assertEquals(Duration.ofMillis(2000), grace.remaining(5000 * MS));
    }

    @Test
    void aStoreThatNamesNoEraIsNeverWaitedFor() {
        grace.recordEra(0, 1000 * MS);
        assertEquals(Duration.ZERO, grace.remaining(1000 * MS));
    }
}
