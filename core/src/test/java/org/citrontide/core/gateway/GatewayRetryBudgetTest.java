package org.citrontide.core.gateway;

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
        GatewayRetryBudget budget = RetryBudgets.createInService(0.2, 12 * 7);
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

    @Test
    void retriesAfterABurstStayWithinTheRequestsOfTheirOwnWindow() {
        int slack = 6;
        for (int calmIntervalMs = 20; calmIntervalMs <= 200; calmIntervalMs += 20) {
            GatewayRetryBudget budget = RetryBudgets.createInService(0.2, 12 * slack);
            List<Long> requests = new ArrayList<>();
            List<Long> retries = new ArrayList<>();
            for (long now = 0; now < 40_000; now += 5) {
                boolean isBurst = now >= 12_000 && now < 18_000;
                if (now % (isBurst ? 10 : calmIntervalMs) == 0) {
                    budget.recordRequest(now * MS);
                    requests.add(now);
                }
                if (budget.tryRetry(now * MS)) {
                    retries.add(now);
                }
                long allowed = (long) (0.2 * mostRequestsAround(requests, now - WINDOW_MS)) + slack;
                long used = countFrom(retries, now - WINDOW_MS);
                assertTrue(
                        used <= allowed,
                        calmIntervalMs + " ms between calm requests, at " + now + " ms: " + used + " of " + allowed);
            }
        }
    }

    /** Returns the most requests of the window from a time on, the one before it and the one half a window before. */
    private static long mostRequestsAround(List<Long> requests, long from) {
        long most = 0;
        for (long start = from - WINDOW_MS; start <= from; start += WINDOW_MS / 2) {
            most = Math.max(most, countFrom(requests, start) - countFrom(requests, start + WINDOW_MS));
        }
        return Math.max(most, countFrom(requests, from));
    }

    private static long countFrom(List<Long> times, long from) {
        return times.stream().filter(t -> t >= from).count();
    }
}
