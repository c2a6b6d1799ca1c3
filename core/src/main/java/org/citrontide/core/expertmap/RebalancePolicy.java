package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.routes.EngineProfile;

/**
 * Decides whether a new expert map is worth the cost of copying experts, from the selection counts of a few ranks.
 *
 * <p>If demand shifts to other experts every few seconds, only a large gain repays the copies; if demand is steady, a
 * small gain does. Not thread-safe.
 */
final class RebalancePolicy {
    // Fewer expert selections, as a mean over the sets, are too noisy to act on.
    private static final int MIN_SELECTIONS = 1500;
    // Demand may shift every two seconds, and a map found earlier rarely fits it after that. A smaller change that is
    // in force sooner is followed by another one.
    private static final Duration MAX_COPY_TIME = Duration.ofMillis(900);
    // Short, because a new controller knows nothing of the demand until it has read the counts twice.
    private static final Duration INITIAL_SAMPLE_INTERVAL = Duration.ofMillis(150);
    private static final double MIN_SPEED_CHANGE = 0.1;
    private static final Duration STEADY_AFTER = Duration.ofSeconds(8);

    private final EngineProfile profile;
    private final DemandEstimator demand;
    private final ControlBudget budget;
    private double[] speeds = new double[0];
    private long lastShiftNanos;
    private boolean isEvaluationDue;
    private RebalanceParameters parameters;
    private Duration passTime = Duration.ZERO;
    private Duration targetGap = Duration.ZERO;

    RebalancePolicy(EngineProfile profile, ControlCosts costs, long nowNanos) {
        this.budget = new ControlBudget(profile, costs, nowNanos);
        this.profile = profile;
        this.demand = new DemandEstimator(profile.expertSets(), profile.expertsPerSet());
        this.lastShiftNanos = nowNanos;
        this.parameters = RebalanceParameters.select(Duration.ZERO, Duration.ZERO, false);
    }

    /** Updates the thresholds from the measured pass time and the target gap between events. */
    void updatePassTime(Duration newPassTime, Duration newTargetGap, long nowNanos) {
        passTime = newPassTime;
        targetGap = newTargetGap;
        parameters =
                RebalanceParameters.select(passTime, targetGap, nowNanos - lastShiftNanos > STEADY_AFTER.toNanos());
    }

    /** Returns the thresholds and intervals that apply now. */
    RebalanceParameters parameters() {
        return parameters;
    }

    boolean hasDemandEstimate() {
        return demand.hasEstimate();
    }

    /** Sets the speeds of all ranks relative to a healthy rank. */
    void setRankSpeeds(double[] newSpeeds) {
        speeds = newSpeeds.clone();
        budget.reset(speeds.length);
    }

    /** Updates the speed of one rank; a large change requests a re-evaluation of the map. */
    void updateRankSpeed(int rank, double speed) {
        if (rank < speeds.length && speed != speeds[rank]) {
            isEvaluationDue |= Math.abs(speed - speeds[rank]) > MIN_SPEED_CHANGE && demand.hasEstimate();
            speeds = speeds.clone();
            speeds[rank] = speed;
        }
    }

    /** Handles a new formation of the group: its counters restart at zero, but the demand estimate stays valid. */
    void resetCounters() {
        demand.resetCounters();
        isEvaluationDue = demand.hasEstimate();
    }

    /** Records the cumulative counts of a rank; returns false if their length does not fit the profile. */
    boolean recordCounts(int rank, long[] counts) {
        if (counts.length != profile.expertSets() * profile.expertsPerSet()) {
            return false;
        }
        demand.recordCounts(rank, counts);
        return true;
    }

    /** Returns the time after which to decide on a read of counts again. */
    Duration decisionInterval(long nowNanos) {
        return demand.hasEstimate()
                ? budget.decisionInterval(parameters.sampleInterval(), nowNanos)
                : INITIAL_SAMPLE_INTERVAL;
    }

    /** Returns the number of ranks whose counts are to be read now, 0 if a read is not worth its price. */
    int ranksToRead(boolean isRequired, EventContext context) {
        return demand.hasEstimate() && !isRequired
                ? budget.ranksToRead(DemandSampler.SAMPLED_RANKS, parameters.sampleInterval(), context)
                : DemandSampler.SAMPLED_RANKS;
    }

    /** Makes the next call of {@link #nextSearch} evaluate the map even without new counts. */
    void requestEvaluation() {
        isEvaluationDue = demand.hasEstimate();
    }

    /** Updates the demand with the counts recorded since the last update, unless they are too few. */
    void updateDemand(long nowNanos) {
        boolean hasNewCounts = demand.update(MIN_SELECTIONS);
        budget.updatePassTime(passTime, targetGap, nowNanos);
        if (!hasNewCounts) {
            return;
        }
        budget.recordSample(demand.hasShifted(), demand.isShiftSuspected(), nowNanos);
        isEvaluationDue = true;
        if (demand.hasShifted()) {
            lastShiftNanos = nowNanos;
        }
    }

    /** Returns the decisions by price, which know the samples and the pass time that this policy was given. */
    ControlBudget budget() {
        return budget;
    }

    /** Returns the search for a better map to run now, or empty if the demand is unchanged or the map fits it. */
    Optional<MapAction.SearchMap> nextSearch(GroupMap current, long newVersion, long nowNanos) {
        if (!isEvaluationDue || !budget.maySearch(nowNanos)) {
            return Optional.empty();
        }
        isEvaluationDue = false;
        List<RankLoads> loads = loads();
        if (current.skew(loads) < parameters.minSkew()) {
            return Optional.empty();
        }
        return Optional.of(new MapAction.SearchMap(
                current, loads, maxNewExperts(), newVersion, parameters.minStepGain(speeds.length)));
    }

    /** Returns how many experts of each set a rank may copy for one change. */
    private int maxNewExperts() {
        long nanosPerExpertOfEachSet =
                Math.max(1, profile.expertCopyTime(profile.expertSets()).toNanos());
        long affordable = Math.max(1, MAX_COPY_TIME.toNanos() / nanosPerExpertOfEachSet);
        return (int) Math.min(profile.maxNewExpertsPerPrepare(), affordable);
    }

    /** Returns true if the map found saves enough expert time per pass to be activated. */
    boolean isWorthwhile(GroupMap found, GroupMap current) {
        return gain(found, current) >= parameters.minGain();
    }

    /** Returns true if the map found is worthwhile and saves more than copies, orders and the hold cost. */
    boolean paysOff(GroupMap found, GroupMap current, EventContext context) {
        int moved = found.newExperts(current);
        return isWorthwhile(found, current)
                && budget.paysOff(
                        gain(found, current),
                        demand.usualDifference(),
                        moved,
                        found.maxNewExpertsPerRank(current),
                        context);
    }

    private double gain(GroupMap found, GroupMap current) {
        List<RankLoads> loads = loads();
        return 1 - found.passTime(loads) / current.passTime(loads);
    }

    /** Returns the log text for the demand of the last update under the map in force. */
    String describeDemand(GroupMap current) {
        return String.format(
                "skew %.2f shifted %b selections %d", current.skew(loads()), demand.hasShifted(), demand.selections());
    }

    /** Returns the log text for a change of the map. */
    String describe(GroupMap found, GroupMap current) {
        List<RankLoads> loads = loads();
        return String.format(
                "version %d skew %.2f to %.2f new %d",
                found.version(), current.skew(loads), found.skew(loads), found.maxNewExpertsPerRank(current));
    }

    private List<RankLoads> loads() {
        return demand.loads(speeds, profile.maxExpertsPerRank());
    }
}
