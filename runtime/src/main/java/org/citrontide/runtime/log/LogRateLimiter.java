package org.citrontide.runtime.log;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of log lines for events that can occur in bursts. Thread-safe.
 *
 * <p>Invariant: at most {@code linesPerSecond} lines are permitted in each whole second of the monotonic clock.
 */
public final class LogRateLimiter {
    private final int linesPerSecond;
    private long currentSecond;
    private int permitted;
    private long suppressed;

    /**
     * Creates a rate limiter.
     *
     * @param linesPerSecond maximum number of lines per second
     */
    public LogRateLimiter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Requests a permit to write one line.
     *
     * @param nowNanos current monotonic time in ns
     * @return true if the line may be written; a refused line is counted as suppressed
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        long now = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        if (now != currentSecond) {
            currentSecond = now;
            permitted = 0;
        }
        if (permitted >= linesPerSecond) {
            suppressed++;
            return false;
        }
        permitted++;
        return true;
    }

    /**
     * Returns the number of lines suppressed since the last call and resets it to zero.
     *
     * @return number of suppressed lines
     */
    public synchronized long getAndResetSuppressed() {
        long count = suppressed;
        suppressed = 0;
        return count;
    }
}
