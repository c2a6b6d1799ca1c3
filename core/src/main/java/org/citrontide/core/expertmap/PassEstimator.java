package org.citrontide.core.expertmap;

import java.time.Duration;

/**
 * Estimates which pass a group has reached, from the pass numbers that its ranks report. Not thread-safe.
 *
 * <p>Invariants: the number of the last known pass decreases only when the group forms again or is observed anew;
 * reads that show no new pass are counted also if the last known pass was only implied, and has not started after all.
 */
final class PassEstimator {
    private static final Duration TYPICAL_PASS_TIME = Duration.ofMillis(50);
    private static final double MAX_PASS_TIME_FACTOR = 4.0;
    private static final double SAMPLE_WEIGHT = 0.5;

    private long lastStep;
    private long lastStepNanos;
    private double passNanos = TYPICAL_PASS_TIME.toNanos();
    private int unchangedReads;
    private boolean isLastImplied;

    /** Sets the last known pass without updating the estimated pass time. */
    void reset(long newest, long nowNanos) {
        lastStep = newest;
        lastStepNanos = nowNanos;
        unchangedReads = 0;
        isLastImplied = false;
    }

    /** Records the pass number that a rank reported. */
    void recordStep(long newest, long nowNanos) {
        if (newest > lastStep) {
            double sample = (double) (nowNanos - lastStepNanos) / (newest - lastStep);
            double smoothed = passNanos + SAMPLE_WEIGHT * (sample - passNanos);
            passNanos = Math.min(TYPICAL_PASS_TIME.toNanos() * MAX_PASS_TIME_FACTOR, smoothed);
            reset(newest, nowNanos);
        } else if (newest == lastStep || isLastImplied) {
            unchangedReads++;
        }
    }

    /**
     * Records that a pass has started, as implied by a rank that refused to hold it. A rank that holds an earlier pass
     * refuses as well.
     */
    void advanceTo(long started, long nowNanos) {
        if (started > lastStep) {
            reset(started, nowNanos);
            isLastImplied = true;
        }
    }

    long lastStep() {
        return lastStep;
    }

    /** Returns the number of consecutive reads that showed no new pass. */
    int unchangedReads() {
        return unchangedReads;
    }

    /** Returns the smoothed time of a pass. Time in which the group was idle is included, up to a limit. */
    Duration passTime() {
        return Duration.ofNanos((long) passNanos);
    }

    /** Returns the log text for the last known pass. */
    String describe() {
        return "pass " + lastStep + " pass-ms " + passTime().toMillis();
    }

    /** Returns the time until a pass is expected to have started; not positive if it is expected to have started. */
    Duration timeTo(long step, long nowNanos) {
        return Duration.ofNanos((long) ((step - lastStep) * passNanos) - (nowNanos - lastStepNanos));
    }

    /** Returns the number of a pass that is not expected to start before the given time has elapsed. */
    long stepAfter(Duration time, long nowNanos) {
        long started = lastStep + (long) ((nowNanos - lastStepNanos) / passNanos);
        return started + (long) Math.ceil(time.toNanos() / passNanos) + 1;
    }
}
