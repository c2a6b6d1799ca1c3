package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.citrontide.core.verdict.Reason;

/**
 * Tells refused callers when to come back: when room is expected, spread so that they don't return together.
 *
 * <p>The load that it answers: short bursts, and outages of seconds. A caller gives up its own wait after a third of
 * its time, so a later return is never asked for. Not thread-safe; its randomness is passed in.
 */
public final class RetryAfterPolicy {
    // Callers wait at most this part of the time that they have left.
    private static final double LONGEST_PART = 0.3;
    private static final Duration FULL = Duration.ofMillis(300);
    private static final Duration OUTAGE = Duration.ofSeconds(2);
    private static final double SPREAD = 0.5;

    private final RandomGenerator random;

    RetryAfterPolicy(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the time after which a caller should return.
     *
     * @param reason why its request was refused
     * @param r the request
     * @param nowNanos monotonic time in ns
     * @return time from now
     */
    public Duration after(Reason reason, GatewayRequest r, long nowNanos) {
        long left = Math.max(0, r.deadlineNanos() - nowNanos);
        Duration mean = reason == Reason.OVERLOADED ? FULL : OUTAGE;
        double spread = 1 + SPREAD * (random.nextDouble() - 0.5);
        long nanos = Math.min((long) (mean.toNanos() * spread), (long) (left * LONGEST_PART * spread));
        return Duration.ofNanos(nanos);
    }
}
