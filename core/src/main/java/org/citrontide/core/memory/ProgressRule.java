package org.citrontide.core.memory;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a body that is still incomplete takes too long.
 *
 * <p>Handles callers that send a byte now and then to keep their connection and the memory of their request.
 *
 * <p>Invariants: a body may take its base time whatever its rate; beyond it, the average rate since the beginning must
 * reach the minimum, up to the maximum time. Immutable.
 *
 * @param baseTime time that a body may take whatever its rate
 * @param maxTime time that a body may take at most
 * @param minBytesPerSecond average rate that counts as progress
 */
public record ProgressRule(Duration baseTime, Duration maxTime, int minBytesPerSecond) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns why a body must be given up.
     *
     * @param bytes number of bytes received since the beginning
     * @param ageNanos time since the beginning in ns
     * @return a short key in lower case for logs and metrics, or empty if the body may go on
     */
    public Optional<String> findViolation(long bytes, long ageNanos) {
        if (ageNanos > maxTime.toNanos()) {
            return Optional.of("body-too-long");
        }
        boolean isSlow = bytes < minBytesPerSecond * (ageNanos / NANOS_PER_SECOND);
        return ageNanos > baseTime.toNanos() && isSlow ? Optional.of("body-too-slow") : Optional.empty();
    }
}
