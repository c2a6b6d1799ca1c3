package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One change of the map of a group, from its first order to the pass in which it is in force.
 *
 * <p>It goes: prepare on every rank; see it prepared on every rank; hold a later pass on one rank; arm every rank for
 * that pass; let the pass begin. Orders may be carried out late, so each is repeated until it is answered, and after
 * the hold the change only goes forward: whoever finds it under way arms the ranks that are not armed and lets the
 * pass begin.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A rank is armed only after every rank of the group has reported the map as prepared.
 *   <li>The held pass is let begin only after every rank has answered that it is armed for it, or if no rank was armed.
 * </ul>
 *
 * <p>Not thread-safe; it does no I/O and reads no clock.
 */
final class GroupChange {
    // Reports are this late at most; a state that was reached before is seen after it.
    static final Duration REPORT_LAG = Duration.ofMillis(300);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    // A rank copies its new experts in well under a second.
    private static final Duration PREPARE_LIMIT = Duration.ofSeconds(4);
    private static final Duration HOLD_LIMIT = Duration.ofSeconds(2);
    private static final int MAX_HOLDS_REFUSED = 5;
    private static final int HOLD_STEPS_MORE = 2;

    /** How far the change is. */
    enum State {
        /** Ranks copy their new experts. */
        PREPARING,
        /** A rank is asked to hold a pass. */
        HOLDING,
        /** Ranks are asked to switch in the held pass. */
        ARMING,
        /** Ranks that another change left armed are asked to forget it. */
        DISARMING,
        /** The holder is asked to let the pass begin. */
        RELEASING,
        /** The map is in force from the held pass on. */
        IN_FORCE,
        /** It came to nothing, or another controller ended it: the group must be looked at anew. */
        ENDED
    }

    private final List<String> ranks;
    private final int epoch;
    private final PassClock passes;
    private final AnswerRate answers;
    private final long version;
    private final Optional<GroupMap> map;
    private final OrderRound orders = new OrderRound();
    private final Set<String> reading = new HashSet<>();
    private State state = State.PREPARING;
    private long stateNanos;
    private long dueNanos;
    private String holder = "";
    private long holdStep;
    private int holdsRefused;
    private boolean isArmed;

    private GroupChange(
            List<String> ranks, int epoch, PassClock passes, AnswerRate answers, long version, Optional<GroupMap> map) {
        this.ranks = ranks;
        this.epoch = epoch;
        this.passes = passes;
        this.answers = answers;
        this.version = version;
        this.map = map;
    }

    /** Begins a change. */
    static GroupChange begin(
            List<String> ranks,
            int epoch,
            PassClock passes,
            AnswerRate answers,
            GroupMap map,
            Duration copyTime,
            Turn turn) {
        GroupChange c = new GroupChange(ranks, epoch, passes, answers, map.version(), Optional.of(map));
        c.start(State.PREPARING, ranks, turn);
        c.dueNanos = turn.nowNanos() + copyTime.plus(POLL_INTERVAL).toNanos();
        return c;
    }

    /** Goes on with a change that a round of reports shows under way: some rank holds a pass. */
    static GroupChange resume(
            List<String> ranks, int epoch, PassClock passes, AnswerRate answers, GroupReports reports, Turn turn) {
        List<String> armed = reports.armed(ranks);
        Optional<Long> ready = reports.preparedOnAll(ranks);
        long version = ready.orElseGet(
                () -> armed.isEmpty() ? 0 : reports.of(armed.getFirst()).armed().orElseThrow());
        GroupChange c = new GroupChange(ranks, epoch, passes, answers, version, Optional.empty());
        c.holder = reports.holding(ranks).getFirst();
        c.holdStep = reports.of(c.holder).heldStep().orElseThrow();
        turn.note(
                "map-change-found",
                "version " + version + " pass " + c.holdStep + " armed " + armed.size() + " prepared on all "
                        + ready.isPresent());
        if (ready.isPresent()) {
            c.arm(turn);
        } else if (!armed.isEmpty()) {
            c.start(State.DISARMING, armed, turn);
        } else {
            c.start(State.RELEASING, List.of(c.holder), turn);
        }
        return c;
    }

    State state() {
        return state;
    }

    /** Returns the pass in which the map is in force, once it is armed everywhere. */
    long step() {
        return holdStep;
    }

    /** Says whether the group may be held by this change. */
    boolean isHolding() {
        return switch (state) {
            case HOLDING, ARMING, DISARMING, RELEASING -> true;
            case PREPARING, IN_FORCE, ENDED -> false;
        };
    }

    /** Learns that this process controls the group no more; a change that holds it is finished all the same. */
    void deposed() {
        // A hold that is not answered yet is left to the next controller, which may have found it already.
        if (state == State.PREPARING || state == State.HOLDING) {
            state = State.ENDED;
        }
    }

    void tick(Turn turn) {
        long inState = turn.nowNanos() - stateNanos;
        if (state == State.PREPARING && inState > PREPARE_LIMIT.toNanos()) {
            turn.note("map-change-abandoned", "version " + version + " not prepared on " + orders.open());
            state = State.ENDED;
            return;
        }
        if (state == State.HOLDING && inState > HOLD_LIMIT.toNanos()) {
            start(State.RELEASING, List.of(holder), turn);
            return;
        }
        for (String id : orders.takeRepeats()) {
            turn.add(new MapAction.Send(id, epoch, order()));
        }
        if (state == State.PREPARING || state == State.ARMING) {
            poll(turn);
        }
    }

    void reported(String id, Optional<RankReport> report, Turn turn) {
        reading.remove(id);
        if (report.isEmpty()) {
            return;
        }
        RankReport r = report.get();
        if (r.epoch() != epoch || !r.open()) {
            turn.note("map-change-ended-by-group", "epoch " + r.epoch() + " open " + r.open());
            state = State.ENDED;
            return;
        }
        if (state == State.PREPARING && r.prepared().isPresent() && r.prepared().getAsLong() == version) {
            done(id, turn);
        }
        if (state == State.ARMING) {
            seenWhileArming(id, r, turn);
        }
    }

    /** Returns the rank that held the pass. */
    String holder() {
        return holder;
    }

    void replied(String id, RankOrder order, RankReply reply, Turn turn) {
        if (!orders.isOpen(id) || !order.equals(order())) {
            return;
        }
        if (reply == RankReply.UNANSWERED) {
            orders.repeat(id);
        } else if (reply == RankReply.REFUSED) {
            refused(id, turn);
        } else if (state != State.PREPARING) {
            // That the copy is complete is seen in the report.
            done(id, turn);
        }
    }

    private RankOrder order() {
        return switch (state) {
            case PREPARING -> new RankOrder.Prepare(map.orElseThrow());
            case HOLDING -> new RankOrder.Hold(holdStep);
            case ARMING -> new RankOrder.Arm(version, holdStep);
            case DISARMING -> new RankOrder.Disarm(version);
            case RELEASING, IN_FORCE, ENDED -> new RankOrder.Go(holdStep);
        };
    }

    private void start(State s, List<String> targets, Turn turn) {
        state = s;
        stateNanos = turn.nowNanos();
        dueNanos = turn.nowNanos();
        reading.clear();
        orders.start(targets);
        targets.forEach(id -> turn.add(new MapAction.Send(id, epoch, order())));
    }

    private void hold(int more, Turn turn) {
        holdStep = passes.after(answers.roundTime(ranks.size()), turn.nowNanos()) + more;
        holder = ranks.get((int) (holdStep % ranks.size()));
        start(State.HOLDING, List.of(holder), turn);
    }

    private void arm(Turn turn) {
        start(State.ARMING, ranks, turn);
        dueNanos = turn.nowNanos() + REPORT_LAG.toNanos();
    }

    private void poll(Turn turn) {
        if (turn.nowNanos() < dueNanos) {
            return;
        }
        dueNanos = turn.nowNanos() + POLL_INTERVAL.toNanos();
        for (String id : orders.open()) {
            if (reading.add(id)) {
                turn.add(new MapAction.ReadReport(id));
            }
        }
    }

    private void seenWhileArming(String id, RankReport r, Turn turn) {
        if (r.step() >= holdStep) {
            turn.note("map-change-ended-by-other", "version " + version + " pass " + holdStep);
            state = State.ENDED;
            return;
        }
        if (orders.isOpen(id) && r.armed().isPresent() && r.armed().getAsLong() == version) {
            done(id, turn);
        }
    }

    private void refused(String id, Turn turn) {
        switch (state) {
            case PREPARING, IN_FORCE, ENDED -> {
                // It has the version already, or the group has formed again: its report tells.
            }
            case HOLDING -> holdRefused(turn);
            case ARMING -> orders.repeat(id);
            case DISARMING, RELEASING -> done(id, turn);
            default -> throw new IllegalStateException("unknown state " + state);
        }
    }

    /** The pass has begun, or the group has formed again. */
    private void holdRefused(Turn turn) {
        holdsRefused++;
        passes.atLeast(holdStep, turn.nowNanos());
        if (holdsRefused > MAX_HOLDS_REFUSED) {
            state = State.ENDED;
        } else {
            hold(holdsRefused * HOLD_STEPS_MORE, turn);
        }
    }

    private void done(String id, Turn turn) {
        orders.done(id);
        if (!orders.isDone()) {
            return;
        }
        switch (state) {
            case PREPARING -> hold(0, turn);
            case HOLDING -> arm(turn);
            case ARMING -> {
                isArmed = true;
                turn.note("map-change-armed", "version " + version + " pass " + holdStep);
                start(State.RELEASING, List.of(holder), turn);
            }
            case DISARMING -> start(State.RELEASING, List.of(holder), turn);
            case RELEASING -> state = isArmed && map.isPresent() ? State.IN_FORCE : State.ENDED;
            case IN_FORCE, ENDED -> {
                // No orders are under way.
            }
            default -> throw new IllegalStateException("unknown state " + state);
        }
    }
}
