package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that one gateway sends to a service, so that retries don't amplify an overload.
 *
 * <p>Invariant: when a retry is spent, the retries of the window are at most the ratio times its requests, and times
 * those expected at the present rate, plus this gateway's share of the slack. None is spent before a whole window has
 * passed since the process started, because its predecessor may have spent the whole budget. Not thread-safe.
 */
public final class GatewayRetryBudget {
    // Requests leave the window before the retries that they allowed, and retries reach their upstreams later.
    private static final double USABLE_FRACTION = 0.95;

    private final double ratio;
    private final long windowNanos;
    private final RetrySlackShare slack;
    private final long startNanos;
    private final Deque<Long> requestNanos = new ArrayDeque<>();
    private final Deque<Long> retryNanos = new ArrayDeque<>();

    /**
     * Creates a retry budget.
     *
     * @param ratio retries allowed per request
     * @param window length of the sliding window over which requests and retries are counted
     * @param slack this gateway's share of the retries allowed per window regardless of the number of requests
     * @param startNanos monotonic time in ns at which the process started
     */
    public GatewayRetryBudget(double ratio, Duration window, RetrySlackShare slack, long startNanos) {
        this.ratio = ratio;
        this.windowNanos = window.toNanos();
        this.slack = slack;
        this.startNanos = startNanos;
    }

    /**
     * Records a request.
     *
     * @param nowNanos monotonic time in ns
     */
    public void recordRequest(long nowNanos) {
        requestNanos.add(nowNanos);
        removeExpired(requestNanos, nowNanos);
    }

    /**
     * Spends one retry if the budget allows it.
     *
     * @param nowNanos monotonic time in ns
     * @return false if the budget of the window is exhausted
     */
    public boolean tryRetry(long nowNanos) {
        if (retryNanos.size() + 1 > state(nowNanos).limit()) {
            return false;
        }
        retryNanos.add(nowNanos);
        return true;
    }

    /**
     * Returns whether any retry can be allowed.
     *
     * @param nowNanos monotonic time in ns
     * @return false until no retry of an earlier process is in the window
     */
    public boolean isInService(long nowNanos) {
        return nowNanos - startNanos >= windowNanos;
    }

    /**
     * Returns what the budget allows and what of it is spent.
     *
     * @param nowNanos monotonic time in ns
     * @return the state of the window that ends now
     */
    public RetryBudgetState state(long nowNanos) {
        removeExpired(requestNanos, nowNanos);
        removeExpired(retryNanos, nowNanos);
        long requests = expectedRequests(nowNanos);
        double ratioPart = ratio * requests;
        double slackPart = slack.retriesPerWindow();
        double limit = isInService(nowNanos) ? USABLE_FRACTION * (ratioPart + slackPart) : 0;
        return new RetryBudgetState(requests, ratioPart, slackPart, limit, retryNanos.size(), slack.gateways());
    }

    /**
     * Returns the number of requests to expect in a window around now. A retry also counts in the windows that end
     * later, which have fewer requests after a burst.
     */
    private long expectedRequests(long nowNanos) {
        long halfNanos = windowNanos / 2;
        long recent =
                requestNanos.stream().filter(t -> nowNanos - t <= halfNanos).count();
        return Math.min(requestNanos.size(), 2 * recent);
    }

    private void removeExpired(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }
}
