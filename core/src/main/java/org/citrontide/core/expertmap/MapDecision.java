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
    private static final double LARGE_SPEED_CHANGE = 0.1;
    private static final Duration STEADY_AFTER = Duration.ofSeconds(8);

    private final EngineProfile profile;
    private final DemandEstimate demand;
    private double[] speeds = new double[0];
    private long movedNanos;
    private boolean again;
    private BalanceEffort effort;

    MapDecision(EngineProfile profile, long nowNanos) {
        this.profile = profile;
        this.demand = new DemandEstimate(profile.expertSets(), profile.expertsPerSet());
        this.movedNanos = nowNanos;
        this.effort = BalanceEffort.of(Duration.ZERO, Duration.ZERO, false);
    }

    /** Takes how long passes last, and how long they may. */
    void passesTake(Duration passTime, Duration targetGap, long nowNanos) {
        effort = BalanceEffort.of(passTime, targetGap, nowNanos - movedNanos > STEADY_AFTER.toNanos());
    }

    /** Returns what is spent on balance now. */
    BalanceEffort effort() {
        return effort;
    }

    boolean isKnown() {
        return demand.isKnown();
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
        if (counts.length != profile.expertSets() * profile.expertsPerSet()) {
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
        if (isFresh && demand.hasMoved()) {
            movedNanos = nowNanos;
        }
        again = false;
        List<RankLoads> loads = loads();
        if (current.skew(loads) < effort.skew()) {
            return Optional.empty();
        }
        return Optional.of(
                new MapAction.Plan(current, loads, profile.maxNewExpertsPerPrepare(), newVersion, effort.stepGain()));
    }

    /** Says whether a map that was found should be put in force. */
    boolean isWorthwhile(GroupMap found, GroupMap current) {
        List<RankLoads> loads = loads();
        return 1 - found.passTime(loads) / current.passTime(loads) >= effort.gain();
    }

    /** Describes a change for the log. */
    String describe(GroupMap found, GroupMap current) {
        List<RankLoads> loads = loads();
        return String.format(
                "version %d skew %.2f to %.2f new %d",
                found.version(), current.skew(loads), found.skew(loads), found.mostNewOnOneRank(current));
    }

    private List<RankLoads> loads() {
        return demand.loads(speeds, profile.maxExpertsPerRank());
    }
}
