package org.citrontide.core.retry;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>Invariants: a request that is not repeatable is retried only after {@link Verdict.NotRun}; no request is
 * retried after its deadline or gets more than {@value #MAX_ATTEMPTS} attempts in all; a retry uses the budget unless a
 * draining upstream returned the work. If a request is not retried, its verdict is final at once. Stateless and safe
 * for use by multiple threads.
 */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 4;

    private RetryPolicy() {}

    /**
     * Returns whether to retry a request after an attempt.
     *
     * @param context properties of the request
     * @param outcome verdict on the attempt
     * @param budget retry budget of the service; a retry takes a token from it, unless a draining upstream returned the
     * work
     * @param nowNanos monotonic time in ns
     * @return true if the request should be sent to another upstream
     */
    public static boolean shouldRetry(RetryContext context, Verdict outcome, RetryBudget budget, long nowNanos) {
        boolean isSafe = switch (outcome) {
            case Verdict.Completed c -> false;
            case Verdict.NotRun n -> isTransient(n.reason());
            case Verdict.MayHaveRun m -> context.isRepeatable();
        };
        if (!isSafe) {
            return false;
        }
        if (context.attempts() >= MAX_ATTEMPTS || nowNanos >= context.deadlineNanos()) {
            return false;
        }
        return isReturnedByDraining(outcome) || budget.tryAcquire();
    }

    /** Work that a draining upstream returns is retried outside the budget, because it occurs only once per stop. */
    private static boolean isReturnedByDraining(Verdict outcome) {
        return outcome instanceof Verdict.NotRun n && n.reason() == Reason.DRAINING;
    }

    private static boolean isTransient(Reason reason) {
        return switch (reason) {
            case OVERLOADED, RING_FULL, DRAINING, UPSTREAM_UNREACHABLE, NOT_READY, CONNECTION_LOST -> true;
            default -> false;
        };
    }
}
