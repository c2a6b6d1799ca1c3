package org.citrontide.core.gateway;

import java.time.Duration;

/**
 * Decides after how long without bytes a stream of one service is considered lost.
 *
 * <p>Handles a service whose upstreams queue requests during a burst. A queued request isn't lost: sent to another
 * upstream, it would lose its place, and under overload such retries would use up the retry budget. So the first event
 * is awaited for a multiple of the time that it takes other requests. Not thread-safe.
 */
final class StallDetector {
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(900);
    private static final double FIRST_EVENT_FACTOR = 3;
    // Weight of one stream in the moving average, which covers about the last ten streams.
    private static final double SAMPLE_WEIGHT = 0.1;

    private double meanFirstEventNanos;

    /** Records the time from the sending of an attempt to its first event. */
    void recordFirstEvent(long nanos) {
        meanFirstEventNanos += SAMPLE_WEIGHT * (nanos - meanFirstEventNanos);
    }

    /**
     * Returns the time without bytes after which a stream is considered lost.
     *
     * @param isStarted whether the attempt has delivered an event
     */
    Duration timeout(boolean isStarted) {
        Duration queued = Duration.ofNanos((long) (FIRST_EVENT_FACTOR * meanFirstEventNanos));
        return isStarted || queued.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : queued;
    }
}
