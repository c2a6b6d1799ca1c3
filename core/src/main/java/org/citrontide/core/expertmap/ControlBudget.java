package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.citrontide.core.routes.EngineProfile;

/**
 * Decides whether a read of the selection counts or a change of the expert map of one group is worth its price.
 *
 * <p>The load it handles: groups whose passes are far below the target gap. There, most reads change no decision
 * and most changes of the map make no stream late or on time. A group whose passes are near the target gap is left to
 * {@link RebalanceParameters}.
 *
 * <p>A pass costs nothing while it is far below the target gap, and up to {@link #LATE_LOSS} of its value at the gap.
 * Everything else is compared with that in time of the whole group.
 *
 * <p>Invariants: without prices, each decision is the one that the thresholds alone would make; a read is never skipped
 * before the demand is known, or after a report that shows no new pass. Not thread-safe: confined to the thread of its
 * controller. It does no I/O and reads no clock.
 */
final class ControlBudget {
    /** Part of the value of a late stream that is lost. */
    static final double LATE_LOSS = 0.5;

    /** Fraction of the target gap from which the thresholds decide, unless the demand is steady. */
    static final double NEAR_GAP = 0.65;

    // Passes below this fraction of the target gap leave room for prefill and bursts.
    private static final double HARMLESS_GAP = 0.5;
    // Part of a pass that depends on the most loaded rank, as published in the step model.
    private static final double EXPERT_SHARE = 0.85;
    // Part of the time in which bursts are expected to fill all slots: 3 to 5 s of a day of 40 s are 0.1; with that, a
    // burst found slightly worse maps than with the thresholds.
    private static final double BURST_SHARE = 0.15;
    // Passes above this fraction of the target gap, with this part of the slots in use, show a burst; after a shift of
    // the demand, passes are longer with no more requests.
    private static final double PEAK_GAP = 0.8;
    private static final double PEAK_SLOTS = 0.75;
    // Time after a burst in which the next one is expected: bursts and waves repeat within about 10 s.
    private static final Duration PEAK_MEMORY = Duration.ofSeconds(12);
    // Samples after which the smoothed pass time no longer depends on its initial value.
    private static final int MIN_SAMPLES = 3;
    // Part of the difference between samples that remains in the average over several.
    private static final double NOISE_SHARE = 0.75;
    private static final double COPY_SLOWDOWN = 1.15;
    // A hold delays about half a pass of 60 ms.
    private static final double HOLD_MS = 30;
    // Factor by which a shift of half to three quarters of the demand lengthens a pass.
    private static final double SHIFT_FACTOR = 1.3;
    // Loss by an unnoticed shift far below the target gap: a read must still notice it before a burst follows.
    private static final double MIN_UNNOTICED_LOSS = 0.02;
    // Time between two reports of one rank while reads of counts are skipped: a report costs far less than counts.
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
    private static final Duration MAX_READ_INTERVAL = Duration.ofMillis(4000);
    // Demand that has been steady for this long is expected to last; the initial expectation as well.
    private static final Duration STEADY_AFTER = Duration.ofSeconds(8);
    // Weight of the newest time between two shifts.
    private static final double SPAN_WEIGHT = 0.5;
    // Samples after a shift that determine the new demand: the one that shows it and one that confirms it.
    private static final int CONFIRMING_SAMPLES = 2;
    private static final int ORDERS_PER_RANK = 2;
    // Reports of one rank show the pass time to about 12%.
    private static final double PASS_RISE = 1.3;
    private static final double REPORT_WEIGHT = 0.25;
    private static final int MAX_UNCHANGED_REPORTS = 2;
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);
    private static final double MB_PER_GB = 1000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double MICROS_PER_MS = 1000;

    private final EngineProfile profile;
    private final ControlCosts costs;
    private final long startNanos;
    private long lastShiftNanos;
    private double meanSpanNanos;
    private int samplesSinceShift = CONFIRMING_SAMPLES;
    private long lastReadNanos;
    private long nextLogNanos;
    private double passFraction;
    private boolean hasTarget;
    private int ranks = 1;
    private double running;
    private int lastRunning;
    private long reportStep = -1;
    private long reportNanos;
    private int unchangedReports;
    private double usualPassFactor;
    private boolean isReadForced;
    private int samples;
    private OptionalLong lastPeakNanos = OptionalLong.empty();

    /**
     * Creates a budget for a group whose demand is unknown.
     *
     * @param profile sizes and speeds of the engines
     * @param costs prices of control
     * @param nowNanos monotonic time in ns
     */
    ControlBudget(EngineProfile profile, ControlCosts costs, long nowNanos) {
        this.profile = profile;
        this.costs = costs;
        this.startNanos = nowNanos;
        this.lastShiftNanos = nowNanos;
        this.meanSpanNanos = STEADY_AFTER.toNanos();
        this.running = profile.slots();
        this.nextLogNanos = nowNanos;
    }

    /** Handles a new formation of the group, whose passes are counted from zero. */
    void reset(int size) {
        ranks = size;
        reportStep = -1;
        isReadForced = true;
    }

    /** Updates the time of a pass relative to the target gap; without a target gap, each part of it matters. */
    void updatePassTime(Duration passTime, Duration targetGap, long nowNanos) {
        hasTarget = targetGap.isPositive();
        if (hasTarget) {
            recordPassFraction((double) passTime.toNanos() / targetGap.toNanos(), nowNanos);
        }
    }

    /** Records what a sample of counts showed about the demand. */
    void recordSample(boolean hasShifted, boolean isShiftSuspected, long nowNanos) {
        samples++;
        if (hasShifted) {
            recordShift(nowNanos);
        } else {
            samplesSinceShift = isShiftSuspected ? CONFIRMING_SAMPLES - 1 : samplesSinceShift + 1;
        }
    }

    private void recordShift(long nowNanos) {
        double span = nowNanos - lastShiftNanos;
        meanSpanNanos = lastShiftNanos == startNanos ? span : meanSpanNanos + SPAN_WEIGHT * (span - meanSpanNanos);
        lastShiftNanos = nowNanos;
        samplesSinceShift = 1;
    }

    /**
     * Records a read of the report of the first rank. Passes that became longer with no more requests, no new pass, or
     * no valid report force a read of counts.
     */
    void recordReport(Optional<RankReport> read, Duration targetGap, long nowNanos) {
        if (read.isEmpty()) {
            isReadForced = true;
            return;
        }
        RankReport report = read.get();
        lastRunning = report.running();
        long passes = report.step() - reportStep;
        if (reportStep >= 0 && passes > 0) {
            double passMs = (nowNanos - reportNanos) / NANOS_PER_MS / passes;
            double factor = passMs / modelMs(report.running());
            isReadForced |= usualPassFactor > 0 && factor > PASS_RISE * usualPassFactor;
            usualPassFactor =
                    usualPassFactor > 0 ? usualPassFactor + REPORT_WEIGHT * (factor - usualPassFactor) : factor;
            running += REPORT_WEIGHT * (report.running() - running);
            if (targetGap.isPositive()) {
                double newest = passMs * NANOS_PER_MS / targetGap.toNanos();
                isReadForced |= newest >= NEAR_GAP && passFraction < NEAR_GAP;
                recordPassFraction(Math.max(newest, passFraction + REPORT_WEIGHT * (newest - passFraction)), nowNanos);
            }
        }
        unchangedReports = passes == 0 ? unchangedReports + 1 : 0;
        isReadForced |= passes < 0 && reportStep >= 0 || unchangedReports >= MAX_UNCHANGED_REPORTS;
        if (passes != 0) {
            reportStep = report.step();
            reportNanos = nowNanos;
        }
    }

    /** Returns the time after which to decide on a read again. */
    Duration decisionInterval(Duration usualInterval, long nowNanos) {
        return costs.isPriced() && !isNearGap(nowNanos) && usualInterval.compareTo(REPORT_INTERVAL) > 0
                ? REPORT_INTERVAL
                : usualInterval;
    }

    /**
     * Decides how many ranks to read the counts of now.
     *
     * @param usualRanks number of ranks that the thresholds alone would read
     * @param usualInterval time between two reads that the thresholds alone would choose
     * @return 0 to skip the read
     */
    int ranksToRead(int usualRanks, Duration usualInterval, EventContext context) {
        long now = context.nowNanos();
        if (!costs.isPriced() || isNearGap(now)) {
            lastReadNanos = now;
            isReadForced = false;
            return usualRanks;
        }
        boolean isConfirming = samplesSinceShift < CONFIRMING_SAMPLES;
        Duration interval = isConfirming ? usualInterval : readInterval(usualRanks, now);
        int count = isReadForced || now - lastReadNanos >= interval.toNanos() ? usualRanks : 0;
        String reason = isReadForced ? "forced" : isConfirming ? "confirm" : "interval";
        log(
                "read",
                context,
                () -> String.format(
                        Locale.ROOT,
                        "ranks=%d reason=%s interval_ms=%d pass_fraction=%.2f span_ms=%d unnoticed_loss=%.3f",
                        count,
                        reason,
                        interval.toMillis(),
                        passFraction,
                        spanMillis(now),
                        unnoticedLoss()));
        if (count > 0) {
            lastReadNanos = now;
            isReadForced = false;
        }
        return count;
    }

    /** Returns whether a search for a better map may start: the demand after a shift is confirmed, or urgent. */
    boolean maySearch(long nowNanos) {
        return !costs.isPriced()
                || isNearGap(nowNanos)
                || passFraction >= HARMLESS_GAP
                || samplesSinceShift >= CONFIRMING_SAMPLES;
    }

    /**
     * Decides whether a change of the map pays.
     *
     * @param gain part of the expert time of a pass that the map saves
     * @param noise part of the selections by which samples of the same demand differ; a map that fits them better by
     *     less than half of that follows chance
     * @param movedExperts number of experts copied by all ranks
     * @param mostMoved number of experts copied by the rank with the most copies
     */
    boolean paysOff(double gain, double noise, int movedExperts, int mostMoved, EventContext context) {
        if (!costs.isPriced() || isNearGap(context.nowNanos())) {
            return true;
        }
        double factor = 1 - EXPERT_SHARE * Math.max(0, gain - NOISE_SHARE * noise);
        double saved = (expectedLoss(1) - expectedLoss(factor)) * spanMillis(context.nowNanos());
        double priceMs = (ORDERS_PER_RANK * ranks * costs.rankMillisPerOrder()
                        + movedExperts * profile.expertMegabytes() / MB_PER_GB * costs.rankMillisPerGigabyte())
                / ranks;
        double copyMs = profile.expertCopyTime(mostMoved).toNanos() / NANOS_PER_MS;
        double slowedMs = copyMs * (expectedLoss(COPY_SLOWDOWN) - expectedLoss(1));
        double heldMs = HOLD_MS * expectedLoss(1);
        boolean pays = saved > priceMs + slowedMs + heldMs;
        log(
                "change",
                context,
                () -> String.format(
                        Locale.ROOT,
                        "pays=%b gain=%.3f noise=%.3f pass_fraction=%.2f span_ms=%d saved_ms=%.1f price_ms=%.1f"
                                + " copy_loss_ms=%.1f hold_loss_ms=%.1f moved=%d",
                        pays,
                        gain,
                        noise,
                        passFraction,
                        spanMillis(context.nowNanos()),
                        saved,
                        priceMs,
                        slowedMs,
                        heldMs,
                        movedExperts));
        return pays;
    }

    /** Returns whether the thresholds decide: passes are near the target gap, were so in a burst, or are unknown. */
    private boolean isNearGap(long nowNanos) {
        return !hasTarget
                || samples < MIN_SAMPLES
                || passFraction >= NEAR_GAP
                || lastPeakNanos.isPresent() && nowNanos - lastPeakNanos.getAsLong() < PEAK_MEMORY.toNanos();
    }

    private void recordPassFraction(double newest, long nowNanos) {
        passFraction = newest;
        if (passFraction >= PEAK_GAP && lastRunning >= PEAK_SLOTS * profile.slots()) {
            lastPeakNanos = OptionalLong.of(nowNanos);
        }
    }

    /**
     * Returns the interval at which the price of the reads equals the expected loss by shifts not noticed yet: a read
     * of price c each T and a loss of rate l for T / 2 after each shift, with a shift each s, cost least at
     * sqrt(2 c s / l).
     */
    private Duration readInterval(int count, long nowNanos) {
        double numbers = (double) count * profile.expertSets() * profile.expertsPerSet();
        double priceMs = numbers * costs.rankMicrosPerCount() / MICROS_PER_MS / ranks;
        double ms = Math.sqrt(2 * priceMs * spanMillis(nowNanos) / unnoticedLoss());
        return Duration.ofMillis((long) Math.min(ms, MAX_READ_INTERVAL.toMillis()));
    }

    private double unnoticedLoss() {
        return Math.max(MIN_UNNOTICED_LOSS, expectedLoss(SHIFT_FACTOR) - expectedLoss(1));
    }

    /** Returns the time for which the demand is expected to last: as long as it did, or as between other shifts. */
    private long spanMillis(long nowNanos) {
        return (long) (Math.max(meanSpanNanos, nowNanos - lastShiftNanos) / NANOS_PER_MS);
    }

    /** Returns the part of the group's value lost to late streams if passes were longer by a factor. */
    private double expectedLoss(double factor) {
        double full = passFraction * modelMs(profile.slots()) / modelMs(running);
        return (1 - BURST_SHARE) * loss(passFraction * factor)
                + BURST_SHARE * loss(Math.max(full, passFraction) * factor);
    }

    private static double loss(double fraction) {
        double excess = Math.clamp((fraction - HARMLESS_GAP) / (1 - HARMLESS_GAP), 0.0, 1.0);
        return LATE_LOSS * excess * excess;
    }

    /** Returns the published time of a pass without skew. */
    private double modelMs(double requests) {
        return profile.stepsPerPass() * (profile.stepMs() + profile.stepMsPerSequence() * requests);
    }

    private void log(String decision, EventContext context, Supplier<String> detail) {
        if (context.nowNanos() >= nextLogNanos) {
            nextLogNanos = context.nowNanos() + LOG_INTERVAL.toNanos();
            context.log("map-control", "decision=" + decision + " " + detail.get());
        }
    }
}
