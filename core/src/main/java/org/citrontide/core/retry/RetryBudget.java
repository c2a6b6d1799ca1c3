package org.citrontide.core.retry;

/**
 * Limits the retries of one service to a percentage of its recent first attempts, by a token bucket.
 *
 * <p>Invariant: in any time interval, the number of retries is at most the allowed percentage of the first attempts in
 * it plus {@value #MAX_TOKENS}. Not thread-safe.
 */
public final class RetryBudget {
    private static final double MAX_TOKENS = 10;
    private static final double HUNDRED_PERCENT = 100;

    private double tokens = MAX_TOKENS;

    /**
     * Records a first attempt, which adds to the budget.
     *
     * @param percent number of retries allowed per hundred first attempts
     */
    public void recordFirstAttempt(int percent) {
        tokens = Math.min(MAX_TOKENS, tokens + percent / HUNDRED_PERCENT);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
