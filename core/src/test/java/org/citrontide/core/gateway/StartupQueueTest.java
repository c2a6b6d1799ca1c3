package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the requests that wait for the first configuration of a gateway. */
final class StartupQueueTest {
    private static final long MS = 1_000_000;
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(8);
    private static final int MAX_REQUESTS = 120;

    private final StartupQueue queue = new StartupQueue(0, new SplittableRandom(1));

    // Guards against a gateway that keeps any number of requests while the store is away.
    @Test
    void theNumberOfRequestsIsBounded() {
        for (int id = 1; id <= MAX_REQUESTS; id++) {
            assertTrue(queue.tryAdd(id, 100, LONG_TIMEOUT, 0));
        }
        assertFalse(queue.tryAdd(999, 100, LONG_TIMEOUT, 0));
        queue.remove(7);
        queue.remove(7);
        assertTrue(queue.tryAdd(1000, 100, LONG_TIMEOUT, 0));
        assertFalse(queue.tryAdd(1001, 100, LONG_TIMEOUT, 0));
    }

    // Guards against large bodies that use up the heap, and against bytes that are never given back.
    @Test
    void theMemoryOfTheRequestsIsBounded() {
        int largest = 4 * 1024 * 1024;
        for (int round = 0; round < 3; round++) {
            assertTrue(queue.tryAdd(1, largest, LONG_TIMEOUT, 0), "one request of the largest size");
            assertFalse(queue.tryAdd(2, largest / 2, LONG_TIMEOUT, 0));
            assertTrue(queue.tryAdd(3, 2000, LONG_TIMEOUT, 0), "a small one");
            if (round == 0) {
                queue.remove(1);
                queue.remove(3);
            } else if (round == 1) {
                assertEquals(List.of(1L, 3L), queue.pollOverdue(1500 * MS));
            } else {
                assertEquals(List.of(1L, 3L), queue.pollAll());
            }
            assertEquals(0, queue.size());
        }
        assertTrue(queue.tryAdd(4, largest, LONG_TIMEOUT, 0));
    }

    // Guards against requests that are kept for longer than their callers wait.
    @Test
    void aRequestWaitsForAtMostAPartOfItsTimeAndOneAndAHalfSeconds() {
        queue.tryAdd(1, 1, LONG_TIMEOUT, 0);
        queue.tryAdd(2, 1, Duration.ofSeconds(1), 0);
        queue.tryAdd(3, 1, LONG_TIMEOUT, 100 * MS);
        queue.tryAdd(4, 1, Duration.ZERO, 100 * MS);
        assertEquals(List.of(4L), queue.pollOverdue(100 * MS));
        assertEquals(List.of(), queue.pollOverdue(349 * MS));
        assertEquals(List.of(2L), queue.pollOverdue(350 * MS));
        assertEquals(List.of(1L), queue.pollOverdue(1599 * MS));
        assertEquals(List.of(3L), queue.pollOverdue(1600 * MS));
    }

    // Guards against callers that return before the configuration is there, or all at the same time.
    @Test
    void retriesAreSpreadFromTheTimeAtWhichTheConfigurationIsExpected() {
        assertSpread(2000, 2600, LONG_TIMEOUT, 0);
        assertSpread(500, 1100, LONG_TIMEOUT, 1500 * MS);
        assertSpread(500, 1100, LONG_TIMEOUT, 60_000 * MS);
        assertSpread(590, 990, Duration.ofSeconds(3), 0);
        assertEquals(Duration.ZERO, queue.retryAfter(Duration.ofMillis(-5), 0));
    }

    private void assertSpread(long minMs, long maxMs, Duration remaining, long nowNanos) {
        long[] delays = LongStream.range(0, 500)
                .map(i -> queue.retryAfter(remaining, nowNanos).toMillis())
                .sorted()
                .toArray();
        assertTrue(delays[0] >= minMs && delays[499] <= maxMs, delays[0] + " to " + delays[499]);
        assertTrue(delays[499] - delays[0] >= 300, "spread over " + (delays[499] - delays[0]) + " ms");
    }
}
