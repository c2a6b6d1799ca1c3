package org.citrontide.core.retry;

/**
 * Properties of a request on which the decision to retry depends. Immutable.
 *
 * @param isRepeatable whether the request may be executed more than once
 * @param attempts number of attempts made so far
 * @param deadlineNanos deadline in monotonic time, ns
 */
public record RetryContext(boolean isRepeatable, int attempts, long deadlineNanos) {}
