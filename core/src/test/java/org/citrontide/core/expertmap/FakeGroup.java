package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Simulates a group of engine ranks in virtual time, with the same orders and reports as real engines. A pass starts
 * whenever no rank holds it. The first pass that starts on two different maps is recorded as a violation.
 */
final class FakeGroup {
    static final int REPORT_LAG_MS = 200;

    /** State of one rank. */
    private static final class Rank {
        private GroupMap map;
        private Optional<GroupMap> copying = Optional.empty();
        private long copyEndMs;
        private Optional<GroupMap> prepared = Optional.empty();
        private OptionalLong armedStep = OptionalLong.empty();
        private OptionalLong heldStep = OptionalLong.empty();
        private long highestVersion;
        private final long[] counts;

        private Rank(GroupMap map, int experts) {
            this.map = map;
            this.counts = new long[experts];
        }
    }

    private final String name;
    private final GroupDemand demand;
    private final int size;
    private final List<Rank> ranks = new ArrayList<>();
    private final List<List<RankReport>> history = new ArrayList<>();
    private int epoch = 1;
    private long step;
    private long nextPassMs;
    private long heldSinceMs = -1;
    private long longestHoldMs;
    private long heldMs;
    private int changes;
    private boolean isIdle;
    private boolean isOpen = true;
    private int slowRank = -1;
    private int passTimeFactor = 1;
    private int reportLagSpreadMs;
    private String violation = "";
    private long targetGapMs = Long.MAX_VALUE;
    private long lastPassMs = -1;
    private int longPasses;
    private int movedExperts;
    private int orders;
    private int countReads;

    /** Creates a group of one set whose demand concentrates on two experts, which change every three seconds. */
    FakeGroup(int size, int experts) {
        this(size, new HotExpertDemand(size, experts));
    }

    FakeGroup(int size, GroupDemand demand) {
        this("g", size, demand);
    }

    FakeGroup(String name, int size, GroupDemand demand) {
        this.name = name;
        this.size = size;
        this.demand = demand;
        form();
    }

    int size() {
        return size;
    }

    /** Returns the number of passes started since the group last formed. */
    long step() {
        return step;
    }

    String violation() {
        return violation;
    }

    int changes() {
        return changes;
    }

    /** Counts the times between two passes that are longer than the gap. */
    void setTargetGapMs(long ms) {
        targetGapMs = ms;
    }

    int longPasses() {
        return longPasses;
    }

    int movedExperts() {
        return movedExperts;
    }

    int orders() {
        return orders;
    }

    int countReads() {
        return countReads;
    }

    long longestHoldMs() {
        return longestHoldMs;
    }

    long heldMs() {
        return heldMs;
    }

    boolean isHeld() {
        return ranks.stream().anyMatch(r -> r.heldStep.isPresent() && r.heldStep.getAsLong() == step + 1);
    }

    /** Advances the time by one millisecond. */
    void advance(long nowMs) {
        for (Rank r : ranks) {
            if (r.copying.isPresent() && nowMs >= r.copyEndMs) {
                r.prepared = r.copying;
                r.copying = Optional.empty();
            }
        }
        recordHoldTime(nowMs);
        if (nowMs >= nextPassMs && !isHeld() && !isIdle && isOpen) {
            startPass(nowMs);
        }
        history.add(reports());
        if (history.size() > REPORT_LAG_MS) {
            history.removeFirst();
        }
    }

    /** Makes one rank five times slower. */
    void setSlowRank(int rank) {
        slowRank = rank;
    }

    /** Lets the reports of the ranks lag differently, by up to this many ms less than the longest lag. */
    void setReportLagSpreadMs(int ms) {
        reportLagSpreadMs = ms;
    }

    /** Makes all passes longer by a factor, as a slow rank does. */
    void setPassTimeFactor(int factor) {
        passTimeFactor = factor;
    }

    /** Sets whether the group is idle: without requests it starts no pass. */
    void setIdle(boolean isIdle) {
        this.isIdle = isIdle;
    }

    /** Breaks the group, or forms it again with map 0. */
    void setOpen(boolean open) {
        if (open && !isOpen) {
            crash();
        }
        isOpen = open;
    }

    /** Crashes the group and forms it again with map 0. */
    void crash() {
        epoch++;
        form();
    }

    RankReport reportOf(int rank) {
        int newer = reportLagSpreadMs * rank / size;
        return history.get(Math.min(newer, history.size() - 1)).get(rank);
    }

    MapEvent.ExpertCounts countsOf(int rank) {
        nextPassMs += demand.readPauseMs();
        countReads++;
        return new MapEvent.ExpertCounts(step, epoch, ranks.get(rank).counts.clone());
    }

    MapEvent.ExpertsRead expertsOf(int rank) {
        GroupMap map = ranks.get(rank).map;
        int[][] bySet = map.sets().stream().map(s -> s.experts()[rank]).toArray(int[][]::new);
        return new MapEvent.ExpertsRead("rank" + rank, map.version(), Optional.of(bySet));
    }

    MapEvent.PreparedExpertsRead preparedExpertsOf(int rank) {
        Optional<GroupMap> map = ranks.get(rank).prepared;
        return new MapEvent.PreparedExpertsRead(
                "rank" + rank,
                map.map(GroupMap::version).orElse(0L),
                map.map(m -> m.sets().stream().map(s -> s.experts()[rank]).toArray(int[][]::new)));
    }

    /** Carries out an order and returns its outcome. */
    OrderOutcome handleOrder(int rank, int orderEpoch, RankOrder order, long nowMs) {
        orders++;
        if (orderEpoch != epoch) {
            return OrderOutcome.REFUSED;
        }
        Rank r = ranks.get(rank);
        return switch (order) {
            case RankOrder.Prepare p -> prepare(r, p.map(), nowMs);
            case RankOrder.Arm a -> arm(r, a);
            case RankOrder.Hold h -> hold(r, h);
            case RankOrder.Go g -> go(r, g);
        };
    }

    private OrderOutcome prepare(Rank r, GroupMap map, long nowMs) {
        if (map.version() <= r.highestVersion || r.armedStep.isPresent()) {
            return OrderOutcome.REFUSED;
        }
        r.highestVersion = map.version();
        r.copying = Optional.of(map);
        r.prepared = Optional.empty();
        int moved = map.newExpertsOfRank(r.map, ranks.indexOf(r));
        movedExperts += moved;
        r.copyEndMs = nowMs + demand.copyMs(moved);
        return OrderOutcome.DONE;
    }

    private OrderOutcome arm(Rank r, RankOrder.Arm a) {
        boolean isReady = r.prepared.isPresent() && r.prepared.get().version() == a.version();
        if (!isReady || a.step() <= step) {
            return OrderOutcome.REFUSED;
        }
        r.armedStep = OptionalLong.of(a.step());
        return OrderOutcome.DONE;
    }

    private OrderOutcome hold(Rank r, RankOrder.Hold h) {
        boolean holdsAnother = r.heldStep.isPresent() && r.heldStep.getAsLong() != h.step();
        if (holdsAnother || h.step() <= step) {
            return OrderOutcome.REFUSED;
        }
        r.heldStep = OptionalLong.of(h.step());
        return OrderOutcome.DONE;
    }

    private static OrderOutcome go(Rank r, RankOrder.Go g) {
        if (r.heldStep.isPresent() && r.heldStep.getAsLong() == g.step()) {
            r.heldStep = OptionalLong.empty();
        }
        return OrderOutcome.DONE;
    }

    private void form() {
        GroupMap first = GroupMap.initial(demand.sets(), demand.expertsPerSet(), size);
        ranks.clear();
        for (int i = 0; i < size; i++) {
            ranks.add(new Rank(first, demand.sets() * demand.expertsPerSet()));
        }
        step = 0;
        history.clear();
        history.add(reports());
    }

    private void startPass(long nowMs) {
        step++;
        longPasses += lastPassMs >= 0 && nowMs - lastPassMs > targetGapMs ? 1 : 0;
        lastPassMs = nowMs;
        for (int i = 0; i < size; i++) {
            Rank r = ranks.get(i);
            if (r.armedStep.isPresent() && r.armedStep.getAsLong() == step) {
                r.map = r.prepared.orElseThrow();
                r.prepared = Optional.empty();
                r.armedStep = OptionalLong.empty();
            }
            demand.addSelections(i, r.counts, nowMs);
        }
        boolean isCopying = ranks.stream().anyMatch(r -> r.copying.isPresent());
        nextPassMs = nowMs + passTimeFactor * demand.passMs(ranks.getFirst().map, isCopying, nowMs);
        GroupMap first = ranks.getFirst().map;
        long before = first.version();
        // All ranks are sent the same object, so another one of the same version has another content.
        if (ranks.stream().anyMatch(r -> r.map != first) && violation.isEmpty()) {
            violation = "pass " + step + " at " + nowMs + " ms started on two maps: "
                    + ranks.stream().map(r -> r.map.version()).toList();
        }
        changes += history.getLast().getFirst().mapVersion() != before ? 1 : 0;
    }

    private void recordHoldTime(long nowMs) {
        if (!isHeld() || nowMs < nextPassMs) {
            heldSinceMs = -1;
            return;
        }
        heldSinceMs = heldSinceMs < 0 ? nowMs : heldSinceMs;
        heldMs++;
        longestHoldMs = Math.max(longestHoldMs, nowMs - heldSinceMs);
    }

    private List<RankReport> reports() {
        List<RankReport> list = new ArrayList<>();
        for (int i = 0; i < ranks.size(); i++) {
            Rank r = ranks.get(i);
            OptionalLong prepared =
                    r.prepared.isPresent() ? OptionalLong.of(r.prepared.get().version()) : OptionalLong.empty();
            list.add(new RankReport(
                    name,
                    epoch,
                    i,
                    size,
                    isOpen,
                    step,
                    r.map.version(),
                    prepared,
                    r.armedStep.isPresent() ? prepared : OptionalLong.empty(),
                    r.heldStep,
                    i == slowRank ? 5 : 1,
                    demand.running(),
                    0));
        }
        return list;
    }
}
