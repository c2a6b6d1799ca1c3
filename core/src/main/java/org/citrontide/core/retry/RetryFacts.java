package org.citrontide.core.retry;

/**
 * What the retry decision needs to know of a request. Immutable.
 *
 * @param repeatable whether running it twice does no harm
 * @param attempts attempts made so far
 * @param deadlineNanos monotonic deadline in ns
 */
public record RetryFacts(boolean repeatable, int attempts, long deadlineNanos) {}
