package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds what one gateway sends to a service beyond the first attempt of each request, so that retries can't multiply
 * an overload.
 *
 * <p>Invariant: in any window the repeats are at most the ratio of the requests of that window plus this gateway's part
 * of the slack. Not thread-safe.
 */
public final class RepeatAllowance {
    private final double ratio;
    private final long windowNanos;
    private final SlackShare slack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Makes an allowance.
     *
     * @param ratio repeats allowed for each request
     * @param window span over which both are counted
     * @param slack repeats allowed in a window whatever the requests, this gateway's part
     */
    public RepeatAllowance(double ratio, Duration window, SlackShare slack) {
        this.ratio = ratio;
        this.windowNanos = window.toNanos();
        this.slack = slack;
    }

    /**
     * Counts a request.
     *
     * @param nowNanos monotonic time in ns
     */
    public void request(long nowNanos) {
        requests.add(nowNanos);
        forgetOld(requests, nowNanos);
    }

    /**
     * Takes the right to one repeat.
     *
     * @param nowNanos monotonic time in ns
     * @return false if there is none left in this window
     */
    public boolean tryRepeat(long nowNanos) {
        forgetOld(requests, nowNanos);
        forgetOld(repeats, nowNanos);
        if (repeats.size() + 1 > ratio * requests.size() + slack.part()) {
            return false;
        }
        repeats.add(nowNanos);
        return true;
    }

    private void forgetOld(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }
}
