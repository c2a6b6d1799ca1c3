package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the bound on repeats over sliding windows. */
final class RepeatAllowanceTest {
    private static final long MS = 1_000_000;
    private static final long WINDOW_MS = 10_000;

    @Test
    void noWindowHasMoreRepeatsThanItsRequestsAndTheSlackAllow() {
        SplittableRandom random = new SplittableRandom(1);
        RepeatAllowance allowance = new RepeatAllowance(0.2, Duration.ofMillis(WINDOW_MS), new SlackShare(12 * 7));
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        for (long now = 0; now < 120_000; now += 5) {
            if (random.nextInt(now % 30_000 < 15_000 ? 10 : 200) == 0) {
                allowance.request(now * MS);
                requests.add(now);
            }
            if (allowance.tryRepeat(now * MS)) {
                repeats.add(now);
            }
            long from = now - WINDOW_MS;
            long inWindow = repeats.stream().filter(t -> t >= from).count();
            long asked = requests.stream().filter(t -> t >= from).count();
            assertTrue(inWindow <= 0.2 * asked + 7 + 7, "at " + now + " ms: " + inWindow + " of " + asked);
        }
        assertTrue(repeats.size() > 100, "repeats are possible at all");
    }
}
