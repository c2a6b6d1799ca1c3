package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.routes.EngineProfile;

/**
 * Decides whether another map would be worth its copies, from the counts of a few ranks.
 *
 * <p>The load that it answers: demand that moves to other experts every few seconds, where only large gains repay the
 * copies, and steady demand, where small ones do. Not thread-safe.
 */
final class MapDecision {
    // Counts of fewer choices are noise.
    private static final int LEAST_CHOICES = 1500;
    private static final double MOVING_SKEW = 1.2;
    private static final double MOVING_GAIN = 0.12;
    private static final double MOVING_STEP_GAIN = 0.01;
    private static final double STEADY_SKEW = 1.05;
    private static final double STEADY_GAIN = 0.03;
    private static final double STEADY_STEP_GAIN = 0.001;
    private static final double LARGE_SPEED_CHANGE = 0.1;
    private static final Duration STEADY_AFTER = Duration.ofSeconds(8);

    private final EngineProfile profile;
    private final DemandEstimate demand;
    private double[] speeds = new double[0];
    private long movedNanos;
    private boolean again;

    MapDecision(EngineProfile profile, long nowNanos) {
        this.profile = profile;
        this.demand = new DemandEstimate(profile.sets(), profile.experts());
        this.movedNanos = nowNanos;
    }

    /** Takes the speeds of the ranks relative to a healthy one. */
    void ranksRun(double[] newest) {
        speeds = newest.clone();
    }

    /** Takes the speed of one rank; a large change asks for a decision. */
    void rankRuns(int rank, double speed) {
        if (rank < speeds.length && speed != speeds[rank]) {
            again |= Math.abs(speed - speeds[rank]) > LARGE_SPEED_CHANGE && demand.isKnown();
            speeds = speeds.clone();
            speeds[rank] = speed;
        }
    }

    /** Learns that the group has formed again: its ranks count from zero, but the demand is what it was. */
    void countsBeginAnew() {
        demand.countsBeginAnew();
        again = demand.isKnown();
    }

    /** Takes the running counts of a rank; returns false if they are of another shape. */
    boolean read(int rank, long[] counts) {
        if (counts.length != profile.sets() * profile.experts()) {
            return false;
        }
        demand.read(rank, counts);
        return true;
    }

    /** Asks for a decision at the next look even if no new counts have come. */
    void lookAgain() {
        again = true;
    }

    /** Returns the search that is worth its time now, if any. */
    Optional<MapAction.Plan> search(GroupMap current, long newVersion, long nowNanos) {
        boolean isFresh = demand.fold(LEAST_CHOICES);
        if (!isFresh && !again) {
            return Optional.empty();
        }
        again = false;
        boolean isSteady = isSteady(nowNanos);
        List<RankLoads> loads = loads();
        if (current.skew(loads) < (isSteady ? STEADY_SKEW : MOVING_SKEW)) {
            return Optional.empty();
        }
        double stepGain = isSteady ? STEADY_STEP_GAIN : MOVING_STEP_GAIN;
        return Optional.of(new MapAction.Plan(current, loads, profile.newPerPrepare(), newVersion, stepGain));
    }

    /** Says whether a map that was found should be put in force. */
    boolean isWorthwhile(GroupMap found, GroupMap current, long nowNanos) {
        List<RankLoads> loads = loads();
        double gain = 1 - found.passTime(loads) / current.passTime(loads);
        boolean isWorthwhile = gain >= (isSteady(nowNanos) ? STEADY_GAIN : MOVING_GAIN);
        if (gain >= MOVING_GAIN) {
            movedNanos = nowNanos;
        }
        return isWorthwhile;
    }

    /** Describes a change for the log. */
    String describe(GroupMap found, GroupMap current) {
        List<RankLoads> loads = loads();
        return String.format(
                "version %d skew %.2f to %.2f new %d",
                found.version(), current.skew(loads), found.skew(loads), found.mostNewOnOneRank(current));
    }

    private boolean isSteady(long nowNanos) {
        return nowNanos - movedNanos > STEADY_AFTER.toNanos();
    }

    private List<RankLoads> loads() {
        return demand.loads(speeds, profile.placesPerRank());
    }
}
