package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the limit on retries in sliding windows. */
final class GatewayRetryBudgetTest {
    private static final long MS = 1_000_000;
    private static final long WINDOW_MS = 10_000;

    @Test
    void noWindowHasMoreRetriesThanItsRequestsAndTheSlackAllow() {
        SplittableRandom random = new SplittableRandom(1);
        GatewayRetryBudget budget =
                new GatewayRetryBudget(0.2, Duration.ofMillis(WINDOW_MS), new RetrySlackShare(12 * 7));
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 120_000; now += 5) {
            if (random.nextInt(now % 30_000 < 15_000 ? 10 : 200) == 0) {
                budget.recordRequest(now * MS);
                requests.add(now);
            }
            if (budget.tryRetry(now * MS)) {
                retries.add(now);
            }
            long from = now - WINDOW_MS;
            long retriesInWindow = retries.stream().filter(t -> t >= from).count();
            long requestsInWindow = requests.stream().filter(t -> t >= from).count();
            assertTrue(
                    retriesInWindow <= 0.2 * requestsInWindow + 7 + 7,
                    "at " + now + " ms: " + retriesInWindow + " of " + requestsInWindow);
        }
        assertTrue(retries.size() > 100, "some retries must be allowed");
    }
}
