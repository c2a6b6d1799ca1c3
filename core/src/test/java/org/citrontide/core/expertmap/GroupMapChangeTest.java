package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how a change of map is resumed from reports that lag behind the state of the ranks. */
final class GroupMapChangeTest {
    private static final long MS = 1_000_000;
    private static final int EPOCH = 1;
    private static final long HELD_STEP = 283;
    private static final long VERSION = 23;
    private static final List<String> RANKS = List.of("rank0", "rank1", "rank2", "rank3");
    private static final GroupMap MAP = new GroupMap(VERSION, List.of(ExpertMap.roundRobin(8, RANKS.size(), 2)));
    private static final RankOrder HOLD = new RankOrder.Hold(HELD_STEP);

    @Test
    void aHeldPassIsArmedOnAllRanksIfReportsShowSomeArmedAndOthersNotPrepared() {
        EventContext context = new EventContext(0);
        resumeWithSecondHold(reports(true, true, false, false), context);
        List<MapAction> expected = new ArrayList<>();
        expected.add(new MapAction.SendOrder("rank2", EPOCH, HOLD));
        RANKS.forEach(r -> expected.add(new MapAction.SendOrder(r, EPOCH, new RankOrder.Arm(VERSION, HELD_STEP))));
        assertEquals(expected, orders(context));
    }

    @Test
    void aHeldPassWithoutArmedRanksIsReleased() {
        EventContext context = new EventContext(0);
        resume(reports(false, false, false, false), context);
        assertEquals(List.of(new MapAction.SendOrder("rank1", EPOCH, new RankOrder.Go(HELD_STEP))), orders(context));
    }

    // Guards against a pass on two maps because the report of a rank that is armed for a later pass confirmed the held
    // one.
    @Test
    void aHeldPassIsReleasedOnlyAfterEveryRankHasAnsweredAnOrderToArmIt() {
        EventContext context = new EventContext(0);
        GroupReports reports = reports(true, true, true, true);
        GroupMapChange change = resumeWithSecondHold(reports, context);
        RankOrder arm = new RankOrder.Arm(VERSION, HELD_STEP);
        RANKS.subList(0, 3).forEach(r -> change.handleOutcome(r, arm, OrderOutcome.DONE, context));
        change.handleOutcome("rank3", arm, OrderOutcome.UNANSWERED, context);
        change.handleReport("rank3", Optional.of(reports.of("rank3")), context);
        MapAction release = new MapAction.SendOrder("rank1", EPOCH, new RankOrder.Go(HELD_STEP));
        assertFalse(orders(context).contains(release), "the report doesn't tell for which pass rank3 is armed");
        change.handleOutcome("rank3", arm, OrderOutcome.DONE, context);
        assertTrue(orders(context).contains(release));
        assertTrue(orders(context).contains(new MapAction.SendOrder("rank2", EPOCH, new RankOrder.Go(HELD_STEP))));
        assertEquals(Optional.of(new ArmedSwitch(EPOCH, VERSION, HELD_STEP, true)), change.armedSwitch());
    }

    @Test
    void ranksThatAnEarlierOrderMayStillArmForAnotherPassAreNotArmedForTheHeldOne() {
        assertFalse(isArmedForHeldPass(new ArmedSwitch(EPOCH, VERSION, HELD_STEP + 9, true)));
        assertFalse(isArmedForHeldPass(new ArmedSwitch(EPOCH, VERSION, HELD_STEP, false)), "all are armed for it");
        assertTrue(isArmedForHeldPass(new ArmedSwitch(EPOCH, VERSION, HELD_STEP + 9, false)));
    }

    @Test
    void aConfirmedSwitchSaysNothingOfAnotherEpochVersionOrTerm() {
        GroupReports reports = reports(true, true, true, true);
        assertTrue(new ArmedSwitch(EPOCH, VERSION, HELD_STEP + 1, true).isPending(RANKS, reports));
        assertFalse(new ArmedSwitch(EPOCH + 1, VERSION, HELD_STEP + 1, true).isPending(RANKS, reports));
        assertFalse(new ArmedSwitch(EPOCH, VERSION + 1, HELD_STEP + 1, true).isPending(RANKS, reports));
        assertFalse(new ArmedSwitch(EPOCH, VERSION, HELD_STEP - 1, true).isPending(RANKS, reports), "its pass started");
        EventContext context = new EventContext(0);
        GroupMapChange change = resumeWithSecondHold(reports, context);
        RANKS.forEach(r -> change.handleOutcome(r, new RankOrder.Arm(VERSION, HELD_STEP), OrderOutcome.DONE, context));
        HeldPassRecovery recovery = new HeldPassRecovery();
        recovery.recordEnd(change);
        assertTrue(recovery.pendingSwitch(RANKS, reports).isPresent());
        recovery.startTerm();
        assertTrue(recovery.pendingSwitch(RANKS, reports).isEmpty());
    }

    // Guards against a pass on two maps because a late order to release it is carried out while the ranks are armed.
    @Test
    void aPassThatIsFoundHeldIsArmedOnlyWhileAnotherRankHoldsItAsWell() {
        GroupReports reports = reports(false, true, true, true);
        EventContext context = new EventContext(0);
        GroupMapChange change = resume(reports, context);
        change.handleOutcome("rank2", HOLD, OrderOutcome.UNANSWERED, context);
        EventContext later = new EventContext(301 * MS);
        change.tick(later);
        assertEquals(List.of(new MapAction.SendOrder("rank3", EPOCH, HOLD)), orders(later), "any other rank will do");
        EventContext refused = new EventContext(302 * MS);
        change.handleOutcome("rank3", HOLD, OrderOutcome.REFUSED, refused);
        assertEquals(List.of(), orders(refused));
        assertEquals(GroupMapChange.State.ENDED, change.state(), "the pass has started: the reports are read again");
    }

    // Guards against a pass on two maps of one version: a rank that refused a map has another one of its version.
    @Test
    void aRankThatRefusedTheMapCountsAsPreparedOnlyByItsExperts() {
        EventContext context = new EventContext(0);
        GroupMapChange change = beginWithOneRefusal(context);
        change.handleReport("rank3", Optional.of(preparedReport(3)), context);
        assertFalse(holdsAny(context), "the report names the version, but not the map");
        assertTrue(context.actions().contains(new MapAction.ReadPreparedExperts("rank3")));
        int[][] others = {MAP.sets().getFirst().experts()[0]};
        change.handlePreparedExperts(
                new MapEvent.PreparedExpertsRead("rank3", MAP.version(), Optional.of(others)), context);
        assertFalse(holdsAny(context));
        assertEquals(GroupMapChange.State.ENDED, change.state(), "the next change has another version");
    }

    // Guards against a change that stalls because the answer of a rank that accepted the map was lost.
    @Test
    void aRankWhoseAnswerWasLostCountsAsPreparedByItsExperts() {
        EventContext context = new EventContext(0);
        GroupMapChange change = beginWithOneRefusal(context);
        change.handleReport("rank3", Optional.of(preparedReport(3)), context);
        change.handlePreparedExperts(new MapEvent.PreparedExpertsRead("rank3", 0, Optional.empty()), context);
        change.handleReport("rank3", Optional.of(preparedReport(3)), context);
        long reads = context.actions().stream()
                .filter(new MapAction.ReadPreparedExperts("rank3")::equals)
                .count();
        assertEquals(2, reads, "a read that failed is sent again");
        int[][] own = {MAP.sets().getFirst().experts()[3]};
        change.handlePreparedExperts(
                new MapEvent.PreparedExpertsRead("rank3", MAP.version(), Optional.of(own)), context);
        assertTrue(holdsAny(context), "all ranks have prepared the map");
    }

    /** Begins a change that all ranks but the last one accept and copy; the last one refuses it. */
    private static GroupMapChange beginWithOneRefusal(EventContext context) {
        GroupMapChange change = GroupMapChange.begin(
                RANKS, EPOCH, new PassEstimator(), new RoundTimeEstimator(), MAP, Duration.ZERO, context);
        RankOrder prepare = new RankOrder.Prepare(MAP);
        RANKS.subList(0, 3).forEach(r -> change.handleOutcome(r, prepare, OrderOutcome.DONE, context));
        change.handleOutcome("rank3", prepare, OrderOutcome.REFUSED, context);
        change.tick(context);
        return change;
    }

    private static RankReport preparedReport(int rank) {
        OptionalLong version = OptionalLong.of(MAP.version());
        OptionalLong none = OptionalLong.empty();
        return new RankReport("g", EPOCH, rank, RANKS.size(), true, 1, 22, version, none, none, 1, 0, 0);
    }

    private static boolean holdsAny(EventContext context) {
        return orders(context).stream().anyMatch(a -> ((MapAction.SendOrder) a).order() instanceof RankOrder.Hold);
    }

    @Test
    void reportsOfAHeldPassWithoutArmedRanksAreReadAgainUntilTheirLagHasPassed() {
        HoldConfirmation confirmation = new HoldConfirmation();
        GroupReports noneArmed = reports(false, false, false, false);
        long lagMs = GroupMapChange.REPORT_LAG.toMillis();
        assertTrue(confirmation.mustReadAgain(RANKS, noneArmed, 1000 * MS));
        assertTrue(confirmation.mustReadAgain(RANKS, noneArmed, (1000 + lagMs - 1) * MS));
        assertFalse(confirmation.mustReadAgain(RANKS, noneArmed, (1000 + lagMs) * MS));
        assertFalse(
                new HoldConfirmation().mustReadAgain(RANKS, reports(false, true, false, false), 1000 * MS),
                "arming is safe at any time");
    }

    private static GroupMapChange resume(GroupReports reports, EventContext context) {
        return resume(reports, Optional.empty(), context);
    }

    private static GroupMapChange resume(
            GroupReports reports, Optional<ArmedSwitch> pendingSwitch, EventContext context) {
        return GroupMapChange.resume(
                RANKS, EPOCH, new PassEstimator(), new RoundTimeEstimator(), reports, pendingSwitch, context);
    }

    /** Resumes a change whose pass rank1 holds; rank2 confirms that it holds the pass as well. */
    private static GroupMapChange resumeWithSecondHold(GroupReports reports, EventContext context) {
        GroupMapChange change = resume(reports, context);
        assertEquals(List.of(new MapAction.SendOrder("rank2", EPOCH, HOLD)), orders(context));
        change.handleOutcome("rank2", HOLD, OrderOutcome.DONE, context);
        return change;
    }

    private static boolean isArmedForHeldPass(ArmedSwitch pendingSwitch) {
        EventContext context = new EventContext(0);
        resume(reports(true, true, true, true), Optional.of(pendingSwitch), context)
                .handleOutcome("rank2", HOLD, OrderOutcome.DONE, context);
        return orders(context).contains(new MapAction.SendOrder("rank0", EPOCH, new RankOrder.Arm(VERSION, HELD_STEP)));
    }

    private static List<MapAction> orders(EventContext context) {
        return context.actions().stream()
                .filter(a -> a instanceof MapAction.SendOrder)
                .toList();
    }

    private static GroupReports reports(boolean... armed) {
        GroupReports reports = new GroupReports();
        for (int i = 0; i < armed.length; i++) {
            OptionalLong version = armed[i] ? OptionalLong.of(VERSION) : OptionalLong.empty();
            OptionalLong held = i == 1 ? OptionalLong.of(HELD_STEP) : OptionalLong.empty();
            reports.add(
                    RANKS.get(i),
                    new RankReport(
                            "g", EPOCH, i, armed.length, true, HELD_STEP - 1, 22, version, version, held, 1, 0, 0));
        }
        return reports;
    }
}
