package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.citrontide.core.costing.PendingWork;
import org.citrontide.core.costing.UpstreamWork;
import org.citrontide.core.costing.WorkEstimate;
import org.citrontide.core.routes.ListedUpstream;

/**
 * The state of one upstream as seen by one gateway, from the upstream list and from the gateway's own attempts.
 *
 * <p>Invariants: the gateway's own observations take precedence over the list: a listed upstream that was unreachable
 * or rejected a request receives no requests until its pause ends, and one that asked to be left alone none until its
 * backoff ends. Not thread-safe: confined to the dispatcher's thread.
 */
public final class UpstreamState {
    // Weight of a new sample in the moving averages, which cover about the last ten attempts.
    private static final double SAMPLE_WEIGHT = 0.2;
    private static final double MIN_HEALTH = 0.05;
    // An upstream without failures has full health again after a few multiples of this time.
    private static final long HEALTH_RECOVERY_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long ACTIVITY_WINDOW_NANOS = Duration.ofMillis(300).toNanos();
    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(500).toNanos();
    private static final int MAX_DOUBLINGS = 3;
    // About the duration of one response of a plain service.
    private static final Duration QUEUE_FULL_PAUSE = Duration.ofMillis(60);
    // The address belongs to another upstream until an update of the upstream list says otherwise.
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(5);
    // A member slower than this delays its group by more than the work it contributes.
    private static final double SLOW_THRESHOLD = 2;
    // What a rate limit permits lapses unused, and only the responses of the upstream can lift the limit.
    private static final double OPEN_LIMIT_COST_FACTOR = 0.5;

    private final UpstreamWork work = new UpstreamWork();
    private ListedUpstream entry;
    private int inFlight;
    private int started;
    private int consecutiveUnreachable;
    private long pausedUntilNanos;
    private boolean hasPause;
    private OptionalLong backoffEndNanos = OptionalLong.empty();
    private long lastProgressNanos;
    private double health = 1;
    private long healthUpdateNanos;
    private double latencyMs;
    private boolean hasLatency;
    private double reportedSlowness = 1;
    private Optional<UpstreamRateLimit> rateLimit = Optional.empty();

    UpstreamState(ListedUpstream entry, long nowNanos) {
        this.entry = entry;
        this.healthUpdateNanos = nowNanos;
        this.lastProgressNanos = nowNanos;
    }

    /**
     * Returns the upstream's entry in the upstream list.
     *
     * @return the latest entry
     */
    public ListedUpstream entry() {
        return entry;
    }

    /**
     * Returns the number of this gateway's attempts in flight.
     *
     * @return number of attempts without an outcome
     */
    public int inFlight() {
        return inFlight;
    }

    UpstreamWork work() {
        return work;
    }

    boolean isAccepting(long nowNanos) {
        return !entry.isDraining() && !isPaused(nowNanos) && !isBackedOff(nowNanos);
    }

    /** Returns whether a request may be sent now. */
    boolean isOpen(SendSlots slots, long nowNanos) {
        return isAccepting(nowNanos) && (rateLimit.isEmpty() || limitOpenNanos(slots, nowNanos) <= nowNanos);
    }

    boolean isPaused(long nowNanos) {
        return hasPause && nowNanos < pausedUntilNanos;
    }

    /** Returns whether the upstream has asked this gateway to leave it alone. */
    boolean isBackedOff(long nowNanos) {
        return backoffEndNanos.isPresent() && nowNanos - backoffEndNanos.getAsLong() < 0;
    }

    /** Returns the time until which the upstream is left alone, now if it is not. */
    long backoffEndNanos(long nowNanos) {
        return isBackedOff(nowNanos) ? backoffEndNanos.getAsLong() : nowNanos;
    }

    void setBackoffEnd(long endNanos) {
        backoffEndNanos = OptionalLong.of(endNanos);
    }

    /** Returns whether only the upstream's rate limit keeps a request from it. */
    boolean isRateLimited(SendSlots slots, long nowNanos) {
        return isAccepting(nowNanos) && limitOpenNanos(slots, nowNanos) > nowNanos;
    }

    /** Returns the time from which the upstream accepts a request, as far as it is known. */
    long nextOpenNanos(SendSlots slots, long nowNanos) {
        long pauseEndNanos = isPaused(nowNanos) ? pausedUntilNanos : nowNanos;
        return Math.max(Math.max(pauseEndNanos, backoffEndNanos(nowNanos)), limitOpenNanos(slots, nowNanos));
    }

    /**
     * Records the limit that a response names.
     *
     * @param perSecond requests per second from all gateways, empty if the response names no limit
     * @param sentNanos monotonic time in ns at which the attempt was sent
     * @param nowNanos monotonic time in ns
     * @return whether the limit changed
     */
    boolean recordRateLimit(OptionalDouble perSecond, long sentNanos, long nowNanos) {
        Optional<UpstreamRateLimit> previous = rateLimit;
        if (perSecond.isPresent()) {
            double rate = perSecond.getAsDouble();
            rateLimit = Optional.of(previous.map(limit -> limit.renew(entry.id(), rate, nowNanos))
                    .orElseGet(() -> new UpstreamRateLimit(entry.id(), rate, nowNanos)));
        } else if (previous.isPresent() && previous.get().isLiftedBy(sentNanos)) {
            rateLimit = Optional.empty();
        }
        return !previous.map(UpstreamRateLimit::perSecond).equals(rateLimit.map(UpstreamRateLimit::perSecond));
    }

    /** Estimates the cost of one more request, relative to its cost at other upstreams. */
    double cost(WorkEstimate estimate, double baselineLatencyMs, long nowNanos) {
        double relativeLatency = hasLatency && baselineLatencyMs > 0 ? Math.max(1, latencyMs / baselineLatencyMs) : 1;
        // Squared because a slow member also delays the other members of its group.
        double groupPenalty = reportedSlowness * reportedSlowness;
        double limitFactor = rateLimit.isPresent() ? OPEN_LIMIT_COST_FACTOR : 1;
        double load = estimate.loadWith(work, nowNanos);
        return load / entry.slots() * relativeLatency * groupPenalty * limitFactor / health(nowNanos);
    }

    /** Records the slowness that the upstream reports, relative to a healthy one. */
    void recordReportedSlowness(double slowness) {
        reportedSlowness = Math.max(1, slowness);
    }

    boolean isSlow() {
        return reportedSlowness >= SLOW_THRESHOLD;
    }

    /** Returns the moving average of the response time in ms, or NaN if there is no sample. */
    double latencyMs() {
        return hasLatency ? latencyMs : Double.NaN;
    }

    double health(long nowNanos) {
        double recoveredFraction = (double) (nowNanos - healthUpdateNanos) / HEALTH_RECOVERY_NANOS;
        return Math.min(1, Math.max(MIN_HEALTH, health + recoveredFraction * (1 - health)));
    }

    /** Returns whether a response made progress recently. */
    boolean isActive(long nowNanos) {
        return nowNanos - lastProgressNanos < ACTIVITY_WINDOW_NANOS;
    }

    long lastProgressNanos() {
        return lastProgressNanos;
    }

    void updateEntry(ListedUpstream newEntry) {
        entry = newEntry;
    }

    void recordAttemptSent(PendingWork sent, SendSlots slots, long nowNanos) {
        work.add(sent);
        inFlight++;
        rateLimit.ifPresent(limit -> limit.recordSent(slots, nowNanos));
    }

    void recordProgress(long nowNanos) {
        lastProgressNanos = nowNanos;
        consecutiveUnreachable = 0;
    }

    /** Records that an attempt has delivered the first part of its response. */
    void recordStarted() {
        started++;
    }

    void recordAttemptEnded(PendingWork ended, boolean wasStarted) {
        work.remove(ended);
        inFlight--;
        started -= wasStarted ? 1 : 0;
    }

    /** Returns whether an attempt in flight has delivered a part of its response. */
    boolean hasStartedStreams() {
        return started > 0;
    }

    /** Records the outcome of an attempt, with the latency of the upstream if its response is complete. */
    void recordOutcome(AttemptOutcome outcome, double millis, long nowNanos) {
        switch (outcome) {
            case AttemptOutcome.Completed c -> recordSuccess(millis, nowNanos);
            case AttemptOutcome.Failed f -> recordFailure(nowNanos);
            case AttemptOutcome.Broken b -> recordFailure(nowNanos);
            case AttemptOutcome.Unreached u -> recordUnreachable(nowNanos);
            case AttemptOutcome.Rejected r -> recordRejection(r.cause(), nowNanos);
            case AttemptOutcome.Withdrawn w -> {
                // Says nothing about the upstream.
            }
        }
    }

    void recordSuccess(double millis, long nowNanos) {
        recordProgress(nowNanos);
        recordHealth(1, nowNanos);
        latencyMs = hasLatency ? latencyMs + SAMPLE_WEIGHT * (millis - latencyMs) : millis;
        hasLatency = true;
    }

    void recordFailure(long nowNanos) {
        recordHealth(MIN_HEALTH, nowNanos);
    }

    void recordUnreachable(long nowNanos) {
        recordHealth(MIN_HEALTH, nowNanos);
        pause(FIRST_PAUSE_NANOS << Math.min(consecutiveUnreachable, MAX_DOUBLINGS), nowNanos);
        consecutiveUnreachable++;
    }

    void recordRejection(AttemptOutcome.Rejected.Cause cause, long nowNanos) {
        Duration duration = switch (cause) {
            case FULL -> QUEUE_FULL_PAUSE;
            case MISDIRECTED -> MISDIRECTED_PAUSE;
            case GROUP_BROKEN, UNACCEPTABLE -> Duration.ZERO;
        };
        pause(duration.toNanos(), nowNanos);
    }

    void pause(long nanos, long nowNanos) {
        hasPause = true;
        pausedUntilNanos = nowNanos + nanos;
    }

    private long limitOpenNanos(SendSlots slots, long nowNanos) {
        return rateLimit.map(limit -> limit.nextOpenNanos(slots, nowNanos)).orElse(nowNanos);
    }

    private void recordHealth(double value, long nowNanos) {
        double current = health(nowNanos);
        health = current + SAMPLE_WEIGHT * (value - current);
        healthUpdateNanos = nowNanos;
    }
}
