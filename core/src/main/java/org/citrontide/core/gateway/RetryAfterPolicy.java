package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.citrontide.core.verdict.Reason;

/**
 * Computes the delay after which a refused caller should retry: the time at which capacity is expected, with jitter to
 * avoid synchronized retries.
 *
 * <p>Designed for short bursts and for outages of several seconds. A caller waits for at most a third of its remaining
 * time, so the delay never exceeds that. Not thread-safe; the source of randomness is passed in.
 */
public final class RetryAfterPolicy {
    // Callers wait for at most a third of their remaining time.
    private static final double MAX_FRACTION = 0.33;
    private static final Duration OVERLOAD_DELAY = Duration.ofMillis(300);
    // Most outages of a group or a zone last several seconds, and most callers retry only once.
    private static final Duration OUTAGE_DELAY = Duration.ofSeconds(3);
    private static final double OVERLOAD_JITTER = 0.5;
    // Callers refused during an outage arrived over time, so their retries are already spread out.
    private static final double OUTAGE_JITTER = 0.1;

    private final RandomGenerator random;

    RetryAfterPolicy(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the delay after which a caller should retry.
     *
     * @param reason why the request was refused
     * @param request the refused request
     * @param nowNanos monotonic time in ns
     * @return delay from now
     */
    public Duration retryAfter(Reason reason, GatewayRequest request, long nowNanos) {
        boolean isOverload = reason == Reason.OVERLOADED;
        double jitter = isOverload ? OVERLOAD_JITTER : OUTAGE_JITTER;
        double factor = 1 - jitter * random.nextDouble();
        long remaining = Math.max(0, request.deadlineNanos() - nowNanos);
        double mean = isOverload ? OVERLOAD_DELAY.toNanos() * (1 + jitter / 2) : OUTAGE_DELAY.toNanos();
        long nanos = (long) (factor * Math.min(mean, remaining * MAX_FRACTION));
        return Duration.ofNanos(nanos);
    }

    /**
     * Returns the delay after which a caller should retry if it is known when capacity is available.
     *
     * @param capacityNanos monotonic time in ns at which capacity is available
     * @param request the refused request
     * @param nowNanos monotonic time in ns
     * @return delay from now, not shorter than until the capacity unless the caller doesn't wait for that long
     */
    public Duration retryAfterTurn(long capacityNanos, GatewayRequest request, long nowNanos) {
        double remaining = Math.max(0, request.deadlineNanos() - nowNanos);
        double delay = Math.max(0, capacityNanos - nowNanos)
                + OVERLOAD_JITTER * OVERLOAD_DELAY.toNanos() * random.nextDouble();
        return Duration.ofNanos((long) Math.min(delay, remaining * MAX_FRACTION));
    }

    /**
     * Returns the delay of a caller that can be served at a known time.
     *
     * @param capacityNanos monotonic time in ns at which the caller can be served
     * @param request the refused request
     * @param nowNanos monotonic time in ns
     * @return delay from now, at most what the caller waits
     */
    public Duration retryAt(long capacityNanos, GatewayRequest request, long nowNanos) {
        long remaining = Math.max(0, request.deadlineNanos() - nowNanos);
        long delay = Math.max(OVERLOAD_DELAY.toNanos(), capacityNanos - nowNanos);
        return Duration.ofNanos((long) Math.min(delay, remaining * MAX_FRACTION));
    }
}
