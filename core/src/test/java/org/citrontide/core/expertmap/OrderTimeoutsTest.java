package org.citrontide.core.expertmap;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the timeouts of single orders and of rounds that a slow link transmits one after the other. */
final class OrderTimeoutsTest {
    private static final int RANKS = 72;
    private static final int ORDER_BYTES = 9500;
    private static final double LINK_MEGABITS_PER_SECOND = 28;

    private final OrderTimeouts timeouts = new OrderTimeouts(LINK_MEGABITS_PER_SECOND);

    @Test
    void lastOrderOfLargeRoundOnSlowLinkIsAwaitedUntilTransmitted() {
        Duration last = Duration.ZERO;
        for (int i = 0; i < RANKS; i++) {
            last = timeouts.start(ORDER_BYTES);
        }
        double roundMs = RANKS * ORDER_BYTES * 8 / (LINK_MEGABITS_PER_SECOND * 1000);
        assertTrue(last.toMillis() > roundMs, last + " for a round of " + roundMs + " ms");
    }

    @Test
    void endedOrdersDontDelayLaterOnes() {
        Duration first = timeouts.start(ORDER_BYTES);
        timeouts.end(ORDER_BYTES);
        assertEquals(first, timeouts.start(ORDER_BYTES));
    }
}
