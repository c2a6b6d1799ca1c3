package org.citrontide.runtime.log;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the lines that a flood of equal events can write. Safe for use by many threads.
 *
 * <p>Invariant: at most the set number of lines are granted in any second of the monotonic clock.
 */
public final class LogBudget {
    private final int linesPerSecond;
    private long second;
    private int granted;
    private long suppressed;

    /**
     * Makes a budget.
     *
     * @param linesPerSecond lines granted in a second
     */
    public LogBudget(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Asks for one line.
     *
     * @param nowNanos monotonic time in ns
     * @return false if the line must not be written; it is counted
     */
    public synchronized boolean tryLine(long nowNanos) {
        long now = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        if (now != second) {
            second = now;
            granted = 0;
        }
        if (granted >= linesPerSecond) {
            suppressed++;
            return false;
        }
        granted++;
        return true;
    }

    /**
     * Returns the lines not written since the last call of this method.
     *
     * @return count
     */
    public synchronized long takeSuppressed() {
        long count = suppressed;
        suppressed = 0;
        return count;
    }
}
