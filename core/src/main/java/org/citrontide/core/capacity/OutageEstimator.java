package org.citrontide.core.capacity;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Estimates how long the present outage of a group lasts, from earlier outages that this process observed.
 *
 * <p>Handles repeated outages of several seconds with the same cause, such as restarts of a member, whose durations are
 * alike. Without an earlier outage that lasted longer than the present one so far, nothing is estimated.
 *
 * <p>Invariant: keeps the durations of at most {@value #MAX_OUTAGES} outages. Not thread-safe.
 */
public final class OutageEstimator {
    static final int MAX_OUTAGES = 8;
    // Single rejections while a group forms again are not outages that callers have to be told to wait for.
    private static final Duration MIN_DURATION = Duration.ofMillis(500);
    // Gateways detect an end up to 0.5 s late, and outages with the same cause differ by about as much.
    private static final double TOLERANCE = 0.1;

    private final Deque<Duration> durations = new ArrayDeque<>();

    /**
     * The times within which an outage is expected to end. Immutable.
     *
     * @param earliest shortest expected duration
     * @param latest longest expected duration
     */
    public record Estimate(Duration earliest, Duration latest) {}

    /**
     * Records the duration of an outage that ended.
     *
     * @param duration time from the first rejection to the first response
     */
    public void record(Duration duration) {
        if (duration.compareTo(MIN_DURATION) < 0) {
            return;
        }
        if (durations.size() == MAX_OUTAGES) {
            durations.removeFirst();
        }
        durations.addLast(duration);
    }

    /**
     * Estimates the duration of the present outage.
     *
     * @param elapsed its duration so far
     * @return the estimate, or empty if no earlier outage lasted longer
     */
    public Optional<Estimate> estimate(Duration elapsed) {
        Optional<Duration> shortest =
                durations.stream().filter(d -> d.compareTo(elapsed) > 0).min(Duration::compareTo);
        Optional<Duration> longest = durations.stream().max(Duration::compareTo);
        return shortest.map(s -> new Estimate(scale(s, 1 - TOLERANCE), scale(longest.orElseThrow(), 1 + TOLERANCE)));
    }

    private static Duration scale(Duration duration, double factor) {
        return Duration.ofNanos((long) (duration.toNanos() * factor));
    }
}
