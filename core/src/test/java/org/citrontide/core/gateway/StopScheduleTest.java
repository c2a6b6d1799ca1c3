package org.citrontide.core.gateway;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class StopScheduleTest {
    private static final Duration LIMIT = Duration.ofMillis(7500);

    @Test
    void acceptsRequestsOfAnyDeadlineWhileTheLoadBalancerStillSendsThem() {
        StopSchedule schedule = new StopSchedule(0, LIMIT);
        for (int ms = 0; ms < 2500; ms += 50) {
            assertTrue(schedule.accepts(millis(ms + 60_000), millis(ms)));
        }
    }

    // Guards against requests that are accepted late in a planned stop and cut off when the process exits.
    @ParameterizedTest
    @ValueSource(longs = {0, Long.MAX_VALUE - 1_000_000_000L, -5_000_000_000L})
    void acceptsLaterOnlyRequestsThatEndBeforeTheExit(long startNanos) {
        StopSchedule schedule = new StopSchedule(startNanos, LIMIT);
        for (int ms = 2500; ms < 9000; ms += 10) {
            long now = startNanos + millis(ms);
            assertFalse(schedule.accepts(startNanos + LIMIT.toNanos(), now), "accepted after " + ms + " ms");
            assertEquals(ms < 3200, schedule.accepts(now + millis(4000), now), "after " + ms + " ms");
        }
    }

    @Test
    void endsTheNoticeAndTheStopAtTheirTimes() {
        StopSchedule schedule = new StopSchedule(0, LIMIT);
        assertFalse(schedule.isNoticeOver(millis(3199)));
        assertTrue(schedule.isNoticeOver(millis(3200)));
        assertFalse(schedule.isLimitReached(millis(7499)));
        assertTrue(schedule.isLimitReached(millis(7500)));
    }

    // Guards against a stop that accepts requests until it is killed where the time to stop is short.
    @Test
    void acceptsRequestsOfAnyDeadlineForAThirdOfAShortLimit() {
        StopSchedule schedule = new StopSchedule(0, Duration.ofMillis(3000));
        assertTrue(schedule.accepts(millis(60_000), millis(999)));
        assertFalse(schedule.accepts(millis(60_000), millis(1000)));
        assertTrue(schedule.accepts(millis(2800), millis(2700)));
        assertFalse(schedule.accepts(millis(2801), millis(2700)));
        assertFalse(schedule.isNoticeOver(millis(2999)));
        assertTrue(schedule.isNoticeOver(millis(3000)));
    }

    private static long millis(long ms) {
        return Duration.ofMillis(ms).toNanos();
    }
}
