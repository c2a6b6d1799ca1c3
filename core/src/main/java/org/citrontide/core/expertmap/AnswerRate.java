package org.citrontide.core.expertmap;

import java.time.Duration;

/**
 * Estimates how many orders go unanswered, and from it how long a round of orders to all ranks takes.
 *
 * <p>The load that it answers: engines that leave a part of their orders unanswered for some seconds. A held pass that
 * is due before every rank has answered makes all streams of the group wait. Not thread-safe.
 */
final class AnswerRate {
    // After an order without an answer it is sent again; the shell gives an answer this long.
    private static final Duration TRY = Duration.ofMillis(70);
    private static final Duration LEAST = Duration.ofMillis(60);
    private static final Duration MOST = Duration.ofMillis(700);
    // About the last three rounds of a group of sixteen count.
    private static final double SAMPLE_WEIGHT = 0.02;
    private static final double NEGLIGIBLE = 0.005;
    // Part of the rounds that may take longer.
    private static final double ACCEPTED_RISK = 0.02;

    private double unanswered;

    void note(boolean isAnswered) {
        unanswered += SAMPLE_WEIGHT * ((isAnswered ? 0 : 1) - unanswered);
    }

    /** Returns the time within which nearly every round of one order to each rank is answered in full. */
    Duration roundTime(int ranks) {
        if (unanswered < NEGLIGIBLE) {
            return LEAST;
        }
        double tries = Math.log(ACCEPTED_RISK / ranks) / Math.log(unanswered);
        Duration time = LEAST.plus(TRY.multipliedBy((long) Math.ceil(tries)));
        return time.compareTo(MOST) < 0 ? time : MOST;
    }
}
