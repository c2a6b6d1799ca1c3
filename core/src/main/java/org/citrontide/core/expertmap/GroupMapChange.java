package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One change of the expert map of a group, from the first order until the new map is in force.
 *
 * <p>The steps are: prepare the map on every rank; wait until every rank has copied its new experts; hold a later
 * pass on one rank; arm every rank for that pass; release the pass. Orders may be carried out late, so each is retried
 * until it is answered. After the hold the change is not rolled back: a controller that finds it in progress arms the
 * remaining ranks and releases the pass. An earlier order to release the pass on its holder may still be carried out,
 * so such a controller first has the pass held by another rank as well.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A rank is armed only after every rank of the group has accepted the map and had the time to copy it, or has
 *       reported it as prepared. If no answer shows that a rank has accepted the map, its report is no proof, because
 *       ranks don't compare maps of one version: the experts that it has prepared are read and compared.
 *   <li>The held pass is released only after every rank has answered an order to arm it for this pass, or if no rank is
 *       armed for it or could be. A report is no such answer: it names the version, but not the pass. No rank is ever
 *       disarmed.
 *   <li>Ranks are armed only for a pass that an order of this change holds, unless every rank was found to hold one.
 * </ul>
 *
 * <p>Not thread-safe; it does no I/O and reads no clock.
 */
final class GroupMapChange {
    // Upper bound of the lag of reports: a report read after this delay shows every state reached before it.
    static final Duration REPORT_LAG = Duration.ofMillis(300);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    // Allows for copies that are slower than at the published rate.
    private static final double COPY_TIME_MARGIN = 1.2;
    // A rank copies its new experts in well under a second.
    private static final Duration PREPARE_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration HOLD_TIMEOUT = Duration.ofSeconds(2);
    // The group is held meanwhile, and any other rank will do.
    private static final Duration SECOND_HOLD_TIMEOUT = Duration.ofMillis(300);
    private static final int MAX_REFUSED_HOLDS = 5;
    private static final int EXTRA_STEPS_PER_REFUSAL = 2;

    /** Progress of the change. */
    enum State {
        /** The ranks copy their new experts. */
        PREPARING,
        /** One rank is ordered to hold a pass. */
        HOLDING,
        /** All ranks are ordered to switch maps in the held pass. */
        ARMING,
        /** The holder is ordered to release the pass. */
        RELEASING,
        /** The map is in force from the held pass on. */
        IN_FORCE,
        /** The change was abandoned, or another controller ended it: the state of the group must be read again. */
        ENDED
    }

    private final List<String> ranks;
    private final int epoch;
    private final PassEstimator passEstimator;
    private final RoundTimeEstimator roundTimeEstimator;
    private final long version;
    private final Optional<GroupMap> map;
    private final Duration copyTime;
    private final OrderRound orders = new OrderRound();
    /** Monotonic time in ns at which each rank that accepted the map has copied its new experts. */
    private final Map<String, Long> copyEndNanos = new HashMap<>();

    /**
     * Ranks that refused to prepare the map: they have it, or one of the same or a later version, or the group has
     * formed again.
     */
    private final Set<String> refusing = new HashSet<>();

    private final Set<String> pendingReports = new HashSet<>();
    private final Set<String> pendingExpertReads = new HashSet<>();
    private State state = State.PREPARING;
    private long stateStartNanos;
    private long nextPollNanos;
    private String holder = "";
    /** Ranks that may hold the pass, in the order in which this change found or ordered them. */
    private final Set<String> holders = new LinkedHashSet<>();

    private boolean isResumed;
    private long holdStep;
    private int refusedHolds;
    private boolean isArmedOnAll;
    private boolean hasUnansweredArms;

    private GroupMapChange(
            List<String> ranks,
            int epoch,
            PassEstimator passEstimator,
            RoundTimeEstimator roundTimeEstimator,
            long version,
            Optional<GroupMap> map,
            Duration copyTime) {
        this.ranks = ranks;
        this.epoch = epoch;
        this.passEstimator = passEstimator;
        this.roundTimeEstimator = roundTimeEstimator;
        this.version = version;
        this.map = map;
        this.copyTime = copyTime;
    }

    /** Starts a change by ordering every rank to prepare the map. */
    static GroupMapChange begin(
            List<String> ranks,
            int epoch,
            PassEstimator passEstimator,
            RoundTimeEstimator roundTimeEstimator,
            GroupMap map,
            Duration copyTime,
            EventContext context) {
        GroupMapChange c = new GroupMapChange(
                ranks, epoch, passEstimator, roundTimeEstimator, map.version(), Optional.of(map), copyTime);
        c.enterState(State.PREPARING, ranks, context);
        return c;
    }

    /**
     * Resumes a change that a round of reports shows in progress, because some rank holds a pass. The change may be
     * another controller's or an earlier one of this controller, for example if a hold order was carried out late.
     *
     * <p>Once a rank is armed, the change only goes forward: reports lag, and ranks that seem not to be armed may be,
     * and the controller that started the change may still release the pass. An exception are ranks that are known to
     * be armed for another pass: the held one is then released without arming them for it, unless that is safe.
     *
     * @param pendingSwitch the switch that all ranks are known to be armed for, empty if it is not known
     */
    static GroupMapChange resume(
            List<String> ranks,
            int epoch,
            PassEstimator passEstimator,
            RoundTimeEstimator roundTimeEstimator,
            GroupReports reports,
            Optional<ArmedSwitch> pendingSwitch,
            EventContext context) {
        List<String> armed = reports.armedRanks(ranks);
        Optional<Long> preparedVersion = reports.preparedOnAll(ranks);
        long version = armed.isEmpty()
                ? preparedVersion.orElse(0L)
                : reports.of(armed.getFirst()).armed().orElseThrow();
        GroupMapChange c = new GroupMapChange(
                ranks, epoch, passEstimator, roundTimeEstimator, version, Optional.empty(), Duration.ZERO);
        c.isResumed = true;
        c.holder = reports.holdingRanks(ranks).getFirst();
        c.holdStep = reports.of(c.holder).heldStep().orElseThrow();
        List<String> free = reports.freeRanks(ranks);
        reports.holdingRanks(ranks).stream()
                .filter(id -> reports.of(id).heldStep().getAsLong() == c.holdStep)
                .forEach(c.holders::add);
        boolean isArmedForOther =
                pendingSwitch.filter(s -> !s.canMoveTo(c.holdStep)).isPresent();
        context.log(
                "map-change-taken-over",
                "version " + version + " pass " + c.holdStep + " armed " + armed.size() + " prepared on all "
                        + preparedVersion.isPresent() + " armed-for "
                        + pendingSwitch
                                .map(s -> s.step() + (s.mayRepeat() ? " with unanswered orders" : ""))
                                .orElse("unknown"));
        if (isArmedForOther || !reports.mayBeArmed(ranks)) {
            c.startRelease(context);
        } else if (free.isEmpty()) {
            c.startArming(context);
        } else {
            c.startSecondHold(free, context);
        }
        return c;
    }

    State state() {
        return state;
    }

    /** Returns whether the change needs nothing more: its map is in force, or it has ended without. */
    boolean isOver() {
        return state == State.IN_FORCE || state == State.ENDED;
    }

    /** Returns the first pass under the new map, valid once all ranks are armed. */
    long holdStep() {
        return holdStep;
    }

    /** Returns the switch that all ranks have confirmed, empty if they have not. */
    Optional<ArmedSwitch> armedSwitch() {
        return isArmedOnAll
                ? Optional.of(new ArmedSwitch(epoch, version, holdStep, hasUnansweredArms))
                : Optional.empty();
    }

    /** Returns whether this change may be holding the group. */
    boolean isHolding() {
        return switch (state) {
            case HOLDING, ARMING, RELEASING -> true;
            case PREPARING, IN_FORCE, ENDED -> false;
        };
    }

    /** Ends the change, because leadership is lost or the profile has changed, unless ranks may be armed already. */
    void endUnlessArming() {
        // An unanswered hold order is left to the next controller, which may already have found it.
        if (state == State.PREPARING || state == State.HOLDING) {
            state = State.ENDED;
        }
    }

    void tick(EventContext context) {
        long timeInState = context.nowNanos() - stateStartNanos;
        if (state == State.PREPARING && timeInState > PREPARE_TIMEOUT.toNanos()) {
            context.log("map-change-abandoned", "version " + version + " not prepared on " + orders.pending());
            state = State.ENDED;
            return;
        }
        Duration holdTimeout = isResumed ? SECOND_HOLD_TIMEOUT : HOLD_TIMEOUT;
        if (state == State.HOLDING && timeInState > holdTimeout.toNanos()) {
            endUnansweredHold(context);
            return;
        }
        for (String id : orders.takeRetries()) {
            context.add(new MapAction.SendOrder(id, epoch, currentOrder()));
        }
        if (state == State.PREPARING) {
            completeCopies(context);
        }
        if (state == State.PREPARING) {
            pollReports(refusing, context);
        } else if (state == State.ARMING) {
            pollReports(orders.pending(), context);
        }
    }

    void handleReport(String id, Optional<RankReport> report, EventContext context) {
        pendingReports.remove(id);
        if (report.isEmpty()) {
            return;
        }
        RankReport r = report.get();
        if (r.epoch() != epoch || !r.isOpen()) {
            context.log("map-change-ended-by-group", "epoch " + r.epoch() + " open " + r.isOpen());
            state = State.ENDED;
            return;
        }
        if (state == State.PREPARING
                && orders.isPending(id)
                && r.prepared().isPresent()
                && r.prepared().getAsLong() == version) {
            confirmPrepared(id, context);
        }
        if (state == State.ARMING && r.step() >= holdStep) {
            context.log("map-change-ended-by-other", "version " + version + " pass " + holdStep);
            state = State.ENDED;
        }
    }

    /** Completes the order of a rank that reports the version of the map as prepared, if it is this map. */
    private void confirmPrepared(String id, EventContext context) {
        if (copyEndNanos.containsKey(id)) {
            completeOrder(id, context);
        } else if (pendingExpertReads.add(id)) {
            context.add(new MapAction.ReadPreparedExperts(id));
        }
    }

    void handlePreparedExperts(MapEvent.PreparedExpertsRead read, EventContext context) {
        String id = read.upstream();
        boolean isRequested = pendingExpertReads.remove(id);
        if (!isRequested || state != State.PREPARING || !orders.isPending(id) || read.version() != version) {
            return;
        }
        if (read.experts().isEmpty()) {
            return;
        }
        if (map.orElseThrow().hasExpertsOfRank(ranks.indexOf(id), read.experts().get())) {
            completeOrder(id, context);
        } else {
            context.log("map-change-abandoned", "version " + version + " names another map on " + id);
            state = State.ENDED;
        }
    }

    /** Returns the upstream of the rank that holds the pass. */
    String holder() {
        return holder;
    }

    void handleOutcome(String id, RankOrder order, OrderOutcome outcome, EventContext context) {
        if (!orders.isPending(id) || !order.equals(currentOrder())) {
            return;
        }
        if (outcome == OrderOutcome.UNANSWERED) {
            hasUnansweredArms |= state == State.ARMING;
            orders.retry(id);
        } else if (outcome == OrderOutcome.REFUSED) {
            handleRefusal(id, context);
        } else if (state == State.PREPARING) {
            // The copy starts when the order is accepted.
            copyEndNanos.putIfAbsent(id, context.nowNanos() + (long) (COPY_TIME_MARGIN * copyTime.toNanos()));
        } else {
            completeOrder(id, context);
        }
    }

    private RankOrder currentOrder() {
        return switch (state) {
            case PREPARING -> new RankOrder.Prepare(map.orElseThrow());
            case HOLDING -> new RankOrder.Hold(holdStep);
            case ARMING -> new RankOrder.Arm(version, holdStep);
            case RELEASING, IN_FORCE, ENDED -> new RankOrder.Go(holdStep);
        };
    }

    private void enterState(State newState, Collection<String> targets, EventContext context) {
        state = newState;
        stateStartNanos = context.nowNanos();
        nextPollNanos = context.nowNanos();
        pendingReports.clear();
        orders.start(targets);
        targets.forEach(id -> context.add(new MapAction.SendOrder(id, epoch, currentOrder())));
    }

    private void startHold(int extraSteps, EventContext context) {
        holdStep = passEstimator.stepAfter(roundTimeEstimator.roundTime(ranks.size()), context.nowNanos()) + extraSteps;
        holder = ranks.get((int) (holdStep % ranks.size()));
        holders.clear();
        holders.add(holder);
        enterState(State.HOLDING, List.of(holder), context);
    }

    /** Has the pass held by one of the given ranks, in the order of ranks after the first holder. */
    private void startSecondHold(List<String> free, EventContext context) {
        int first = ranks.indexOf(holder);
        String second = free.stream()
                .min(Comparator.comparingInt(id -> Math.floorMod(ranks.indexOf(id) - first, ranks.size())))
                .orElseThrow();
        holders.add(second);
        enterState(State.HOLDING, List.of(second), context);
    }

    private void startRelease(EventContext context) {
        enterState(State.RELEASING, holders, context);
    }

    /** Gives a new change up, and has a pass that was found held by a further rank. */
    private void endUnansweredHold(EventContext context) {
        List<String> untried =
                ranks.stream().filter(id -> !holders.contains(id)).toList();
        if (!isResumed) {
            startRelease(context);
        } else if (untried.isEmpty()) {
            state = State.ENDED;
        } else {
            startSecondHold(untried, context);
        }
    }

    private void startArming(EventContext context) {
        enterState(State.ARMING, ranks, context);
        nextPollNanos = context.nowNanos() + REPORT_LAG.toNanos();
    }

    /** Completes the orders of the ranks whose copies should have ended; reports would show that with a delay. */
    private void completeCopies(EventContext context) {
        for (String id : orders.pending()) {
            Long end = copyEndNanos.get(id);
            if (state == State.PREPARING && end != null && context.nowNanos() >= end) {
                completeOrder(id, context);
            }
        }
    }

    private void pollReports(Collection<String> targets, EventContext context) {
        if (context.nowNanos() < nextPollNanos) {
            return;
        }
        nextPollNanos = context.nowNanos() + POLL_INTERVAL.toNanos();
        for (String id : targets) {
            if (pendingReports.add(id)) {
                context.add(new MapAction.ReadReport(id));
            }
        }
    }

    private void handleRefusal(String id, EventContext context) {
        switch (state) {
            case PREPARING -> {
                refusing.add(id);
            }
            case IN_FORCE, ENDED -> {
                // No orders are in flight.
            }
            case HOLDING -> handleHoldRefusal(context);
            case ARMING -> orders.retry(id);
            case RELEASING -> completeOrder(id, context);
            default -> throw new IllegalStateException("unknown state " + state);
        }
    }

    /** Retries the hold on a later pass: the pass has already started, or the group has formed again. */
    private void handleHoldRefusal(EventContext context) {
        if (isResumed) {
            // The pass has started, or the rank holds another one: the reports are read again.
            state = State.ENDED;
            return;
        }
        refusedHolds++;
        passEstimator.advanceTo(holdStep, context.nowNanos());
        if (refusedHolds > MAX_REFUSED_HOLDS) {
            state = State.ENDED;
        } else {
            startHold(refusedHolds * EXTRA_STEPS_PER_REFUSAL, context);
        }
    }

    private void completeOrder(String id, EventContext context) {
        orders.complete(id);
        if (!orders.isComplete()) {
            return;
        }
        switch (state) {
            case PREPARING -> startHold(0, context);
            case HOLDING -> startArming(context);
            case ARMING -> {
                isArmedOnAll = true;
                context.log(
                        "map-change-armed",
                        "version " + version + " pass " + holdStep + " unanswered " + hasUnansweredArms);
                startRelease(context);
            }
            case RELEASING -> state = isArmedOnAll && map.isPresent() ? State.IN_FORCE : State.ENDED;
            case IN_FORCE, ENDED -> {
                // No orders are in flight.
            }
            default -> throw new IllegalStateException("unknown state " + state);
        }
    }
}
