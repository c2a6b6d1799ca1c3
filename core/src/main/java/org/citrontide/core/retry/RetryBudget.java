package org.citrontide.core.retry;

/**
 * Bounds the retries of one service to a share of its recent first attempts.
 *
 * <p>Invariant: over any stretch of time, retries are at most the share of first attempts in it plus
 * {@value #RESERVE}. Not thread-safe.
 */
public final class RetryBudget {
    private static final double RESERVE = 10;
    private static final double FULL_PERCENT = 100;

    private double tokens = RESERVE;

    /**
     * Counts a first attempt.
     *
     * @param percent retries allowed per hundred first attempts
     */
    public void firstAttempt(int percent) {
        tokens = Math.min(RESERVE, tokens + percent / FULL_PERCENT);
    }

    /**
     * Takes the right to one retry.
     *
     * @return false if the budget is used up
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
