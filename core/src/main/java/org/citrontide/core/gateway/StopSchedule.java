package org.citrontide.core.gateway;

import java.time.Duration;

/**
 * Decides which requests a gateway accepts during its planned stop.
 *
 * <p>Handles the requests that arrive until the load balancer has noticed the stop, and those on connections that
 * callers keep open. First all requests are accepted, then those whose deadline passes before the process exits, and
 * finally none.
 *
 * <p>Invariant: a request that is accepted later than 2.5 s after the start, or a third of the limit if that is less,
 * has its final response before the process exits. Immutable.
 *
 * @param startNanos monotonic time in ns at which the stop began
 * @param limit time after which the process exits, whatever is in flight
 */
public record StopSchedule(long startNanos, Duration limit) {
    // The platform excuses a response that is cut off only for requests sent up to 3 s after the signal; half a second
    // is for the delivery of the signal and of the request.
    private static final Duration ANY_DEADLINE = Duration.ofMillis(2500);
    // The load balancer checks readiness once a second and stops sending requests after two failed checks.
    private static final Duration DRAIN_NOTICE = Duration.ofMillis(3200);
    // Leaves requests of any deadline twice this time.
    private static final int ANY_DEADLINE_DIVISOR = 3;
    // Time to write the response to a request whose deadline has passed.
    private static final Duration WRITE_MARGIN = Duration.ofMillis(200);

    /**
     * Returns whether a request is accepted.
     *
     * @param deadlineNanos monotonic time in ns at which the request gets its final response at the latest
     * @param nowNanos monotonic time in ns
     * @return false if the request is to be refused
     */
    public boolean accepts(long deadlineNanos, long nowNanos) {
        if (isNoticeOver(nowNanos)) {
            return false;
        }
        boolean endsInTime = deadlineNanos + WRITE_MARGIN.toNanos() - startNanos <= limit.toNanos();
        long anyDeadlineNanos = Math.min(ANY_DEADLINE.toNanos(), limit.toNanos() / ANY_DEADLINE_DIVISOR);
        return endsInTime || nowNanos - startNanos < anyDeadlineNanos;
    }

    /**
     * Returns whether the load balancer has had the time to notice the stop, so that all requests are refused.
     *
     * @param nowNanos monotonic time in ns
     * @return true once the notice period is over, which ends with the time limit at the latest
     */
    public boolean isNoticeOver(long nowNanos) {
        return nowNanos - startNanos >= DRAIN_NOTICE.toNanos() || isLimitReached(nowNanos);
    }

    /**
     * Returns whether the process exits although requests are in flight.
     *
     * @param nowNanos monotonic time in ns
     * @return true once the time limit has passed
     */
    public boolean isLimitReached(long nowNanos) {
        return nowNanos - startNanos >= limit.toNanos();
    }
}
