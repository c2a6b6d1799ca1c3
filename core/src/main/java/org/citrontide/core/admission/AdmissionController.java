package org.citrontide.core.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Stops a flood at the entry, before it costs a round trip to a sidecar.
 *
 * <p>Each key has a level, the part of its requests that are let through. A refusal by a sidecar multiplies the level
 * by {@value #DECREASE}; an accepted request and the passage of time raise it again. Requests are let through evenly:
 * each adds its level to a sum, and passes when the sum reaches one.
 *
 * <p>Invariants: a level stays between {@value #LEAST_LEVEL} and 1, so that every team keeps probing; keys that are
 * fully open are not kept, and at most {@value #MAX_KEYS} are. Time is monotonic and passed in. Not thread-safe.
 */
public final class AdmissionController {
    private static final double DECREASE = 0.8;
    private static final double INCREASE_PER_ACCEPTED = 0.02;
    private static final double INCREASE_PER_SECOND = 0.05;
    private static final double LEAST_LEVEL = 0.02;
    private static final int MAX_KEYS = 8192;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long LEAST_RETRY_AFTER_MS = 1000;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    private final Map<AdmissionKey, Level> levels = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AdmissionKey, Level> eldest) {
            return size() > MAX_KEYS;
        }
    };

    /**
     * Decides on one request.
     *
     * @param key whose request it is
     * @param nowNanos monotonic time in ns
     * @return the refusal, or empty if the request may go on
     */
    public Optional<Verdict.NotRun> admit(AdmissionKey key, long nowNanos) {
        Level level = levels.get(key);
        if (level == null) {
            return Optional.empty();
        }
        level.recover(nowNanos);
        if (level.value >= 1) {
            levels.remove(key);
            return Optional.empty();
        }
        level.sum += level.value;
        if (level.sum >= 1) {
            level.sum -= 1;
            return Optional.empty();
        }
        return Optional.of(new Verdict.NotRun(Reason.OVER_SHARE, retryAfter(level.value)));
    }

    /**
     * Learns that a sidecar took a request of this key.
     *
     * @param key whose request it was
     */
    public void accepted(AdmissionKey key) {
        Level level = levels.get(key);
        if (level != null) {
            level.value = Math.min(1, level.value + INCREASE_PER_ACCEPTED);
        }
    }

    /**
     * Learns that a sidecar refused a request of this key for want of room.
     *
     * @param key whose request it was
     * @param nowNanos monotonic time in ns
     */
    public void refused(AdmissionKey key, long nowNanos) {
        Level level = levels.computeIfAbsent(key, k -> new Level(nowNanos));
        level.recover(nowNanos);
        level.value = Math.max(LEAST_LEVEL, level.value * DECREASE);
    }

    /**
     * Returns the part of a key's requests that is let through.
     *
     * @param key whose requests
     * @return a number from 0 to 1
     */
    public double level(AdmissionKey key) {
        Level level = levels.get(key);
        return level == null ? 1 : level.value;
    }

    private static Duration retryAfter(double level) {
        long ms = (long) (LEAST_RETRY_AFTER_MS / level);
        return Duration.ofMillis(Math.min(MAX_RETRY_AFTER_MS, ms));
    }

    private static final class Level {
        private double value = 1;
        private double sum;
        private long updatedNanos;

        private Level(long nowNanos) {
            this.updatedNanos = nowNanos;
        }

        private void recover(long nowNanos) {
            double seconds = Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
            value = Math.min(1, value + seconds * INCREASE_PER_SECOND);
            updatedNanos = nowNanos;
        }
    }
}
