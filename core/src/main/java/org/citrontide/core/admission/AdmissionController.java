package org.citrontide.core.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Sheds excess load at the entry, which saves a round trip to an overloaded sidecar.
 *
 * <p>Each key has an admission level, the fraction of its requests that are admitted. A refusal by a sidecar multiplies
 * the level by {@value #DECREASE}; accepted requests and the passage of time increase it. Requests are admitted at even
 * intervals: each adds the level to an accumulator and is admitted when the accumulator reaches one.
 *
 * <p>Invariants: a level stays between {@value #MIN_LEVEL} and 1, so that every team keeps probing. Keys with level 1
 * are not stored, and at most {@value #MAX_KEYS} others are. Time is monotonic and passed as an argument. Not
 * thread-safe.
 */
public final class AdmissionController {
    private static final double DECREASE = 0.8;
    private static final double INCREASE_PER_ACCEPTED = 0.02;
    private static final double INCREASE_PER_SECOND = 0.05;
    private static final double MIN_LEVEL = 0.02;
    private static final int MAX_KEYS = 8192;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_RETRY_AFTER_MS = 1000;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    private final Map<AdmissionKey, Level> levels = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AdmissionKey, Level> eldest) {
            return size() > MAX_KEYS;
        }
    };

    /**
     * Decides whether a request is admitted.
     *
     * @param key admission key of the request
     * @param nowNanos monotonic time in ns
     * @return the refusal, or empty if the request is admitted
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
        level.accumulator += level.value;
        if (level.accumulator >= 1) {
            level.accumulator -= 1;
            return Optional.empty();
        }
        return Optional.of(new Verdict.NotRun(Reason.OVER_SHARE, retryAfter(level.value)));
    }

    /**
     * Records that a request was completed, and increases the level of its key.
     *
     * @param key admission key of the request
     */
    public void recordAccepted(AdmissionKey key) {
        Level level = levels.get(key);
        if (level != null) {
            level.value = Math.min(1, level.value + INCREASE_PER_ACCEPTED);
        }
    }

    /**
     * Records that a sidecar refused a request because of overload, and decreases the level of its key.
     *
     * @param key admission key of the request
     * @param nowNanos monotonic time in ns
     */
    public void recordRefused(AdmissionKey key, long nowNanos) {
        Level level = levels.computeIfAbsent(key, k -> new Level(nowNanos));
        level.recover(nowNanos);
        level.value = Math.max(MIN_LEVEL, level.value * DECREASE);
    }

    /**
     * Returns the fraction of the requests of a key that is admitted.
     *
     * @param key admission key of the requests
     * @return a number from 0 to 1
     */
    public double level(AdmissionKey key) {
        Level level = levels.get(key);
        return level == null ? 1 : level.value;
    }

    private static Duration retryAfter(double level) {
        long ms = (long) (MIN_RETRY_AFTER_MS / level);
        return Duration.ofMillis(Math.min(MAX_RETRY_AFTER_MS, ms));
    }

    private static final class Level {
        private double value = 1;
        private double accumulator;
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
