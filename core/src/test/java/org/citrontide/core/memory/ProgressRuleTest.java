package org.citrontide.core.memory;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

final class ProgressRuleTest {
    private static final ProgressRule RULE = new ProgressRule(Duration.ofSeconds(60), Duration.ofSeconds(600), 1024);

    private static Optional<String> violation(long bytes, int seconds) {
        return RULE.findViolation(bytes, Duration.ofSeconds(seconds).toNanos());
    }

    // Guards against a rule that meets a caller within the limits: any rate for a minute, then 1 KB/s.
    @Test
    void slowBodyMayTakeTheBaseTimeAndGoOnWhileItMakesProgress() {
        assertEquals(Optional.empty(), violation(0, 60));
        assertEquals(Optional.empty(), violation(61 * 1024, 61));
        assertEquals(Optional.empty(), violation(600 * 1024, 600));
    }

    // Guards against a body that is kept for ever by a byte now and then.
    @Test
    void bodyWithoutProgressOrBeyondTheMaximumTimeIsGivenUp() {
        assertEquals(Optional.of("body-too-slow"), violation(61 * 1024 - 1, 61));
        assertEquals(Optional.of("body-too-long"), violation(4 << 20, 601));
    }
}
