package org.citrontide.core.expertmap;

import java.time.Duration;

/**
 * Estimates the fraction of orders that go unanswered and, from it, the time that a round of orders to all ranks takes.
 *
 * <p>It handles engines that leave some of their orders unanswered for several seconds. If a held pass is due before
 * every rank has answered, all streams of the group wait. Not thread-safe.
 */
final class RoundTimeEstimator {
    // An unanswered order is sent again. Equals the time that the shell waits for a reply.
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(70);
    private static final Duration MIN_ROUND_TIME = Duration.ofMillis(60);
    private static final Duration MAX_ROUND_TIME = Duration.ofMillis(700);
    // Averages over about the last three rounds of a group of sixteen ranks.
    private static final double SAMPLE_WEIGHT = 0.02;
    private static final double NEGLIGIBLE_RATE = 0.005;
    // Fraction of the rounds that may exceed the estimate.
    private static final double ACCEPTED_RISK = 0.02;

    private double unansweredRate;

    void recordOrder(boolean isAnswered) {
        unansweredRate += SAMPLE_WEIGHT * ((isAnswered ? 0 : 1) - unansweredRate);
    }

    /** Returns the time within which nearly every round of one order to each rank is fully answered. */
    Duration roundTime(int ranks) {
        if (unansweredRate < NEGLIGIBLE_RATE) {
            return MIN_ROUND_TIME;
        }
        double tries = Math.log(ACCEPTED_RISK / ranks) / Math.log(unansweredRate);
        Duration time = MIN_ROUND_TIME.plus(RETRY_INTERVAL.multipliedBy((long) Math.ceil(tries)));
        return time.compareTo(MAX_ROUND_TIME) < 0 ? time : MAX_ROUND_TIME;
    }
}
