package org.citrontide.core.lease;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the order in which the VMs of a mixed fleet stand for election. */
final class CandidacyDelayTest {
    private static final int ELECTIONS = 200;

    @Test
    void oneOfFewVmsWithFastLinksNearlyAlwaysStandsFirst() {
        SplittableRandom random = new SplittableRandom(1);
        int fastFirst = 0;
        for (int i = 0; i < ELECTIONS; i++) {
            Duration fast = earliest(8, 140, random);
            Duration slow = earliest(31, 28, random);
            fastFirst += fast.compareTo(slow) < 0 ? 1 : 0;
        }
        assertTrue(fastFirst > 0.95 * ELECTIONS, fastFirst + " of " + ELECTIONS);
    }

    @Test
    void vmWithVerySlowLinkStandsWithinSeconds() {
        Duration delay = new CandidacyDelay(0.1, new SplittableRandom(1)).next();
        assertTrue(delay.compareTo(Duration.ofMillis(1300)) <= 0, "stands after " + delay);
    }

    private static Duration earliest(int vms, double linkMegabitsPerSecond, SplittableRandom random) {
        return Stream.generate(() -> new CandidacyDelay(linkMegabitsPerSecond, random).next())
                .limit(vms)
                .min(Duration::compareTo)
                .orElseThrow();
    }
}
