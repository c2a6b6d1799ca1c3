package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.citrontide.core.routes.EngineProfile;

/**
 * Keeps the expert map of one group close to the demand while this process is elected.
 *
 * <p>Invariants: a group is looked at in full, and a change that is found under way is finished, before a new one
 * begins; one change is under way at a time; a version of a map is used by one term only.
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock.
 */
public final class GroupMapController {
    // The first difference of counts follows soon, because a new controller knows nothing of the demand.
    private static final Duration FIRST_INTERVAL = Duration.ofMillis(150);
    private static final Duration OBSERVE_INTERVAL = Duration.ofMillis(250);
    // Reports lag by about twice this.
    private static final Duration STALE_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_STALE_ROUNDS = 10;
    private static final Duration AFTER_CHANGE = Duration.ofMillis(100);
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(4);
    private static final int SAMPLED_RANKS = 2;
    private static final int MISSES_TO_OBSERVE = 2;
    // About three seconds without a pass: the group is idle or held.
    // Both sampled ranks told of no new pass: the group may be idle, and a report costs less than counts.
    private static final int STILL_READS_TO_SAVE = 2;
    private static final int STILL_READS_TO_OBSERVE = 12;
    // A group that is idle begins no pass for a long time.
    private static final int MANY_WAITS = 8;
    private static final int VERSIONS_PER_TERM = 1_000_000;

    private enum Phase {
        IDLE,
        OBSERVING,
        LISTING,
        SAMPLING,
        PLANNING,
        CHANGING
    }

    private final EngineProfile profile;
    private List<String> members = List.of();
    private boolean elected;
    private long term;
    private int changes;
    private Phase phase = Phase.IDLE;
    private long phaseNanos;
    private long dueNanos;
    private final Set<String> reading = new HashSet<>();
    private final GroupReports reports = new GroupReports();
    private final Map<Integer, int[][]> lists = new TreeMap<>();
    private List<String> ranks = List.of();
    private int epoch;
    private int newestEpoch;
    private int staleRounds;
    private final PassClock passes = new PassClock();
    private final AnswerRate answers = new AnswerRate();
    private Duration targetGap = Duration.ZERO;
    private Optional<MapDecision> decision = Optional.empty();
    private Optional<GroupMap> current = Optional.empty();
    private Optional<GroupMap> next = Optional.empty();
    private Optional<GroupChange> change = Optional.empty();
    private long inForceFrom;
    private String lastHolder = "";
    private int waits;
    private int misses;
    private long speedsDueNanos;

    /**
     * Makes a controller of the group of one service.
     *
     * @param profile sizes and speeds of its engines
     */
    public GroupMapController(EngineProfile profile) {
        this.profile = profile;
    }

    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowNanos monotonic time in ns
     * @return what the shell must do, in order
     */
    public List<MapAction> on(MapEvent event, long nowNanos) {
        Turn turn = new Turn(nowNanos);
        switch (event) {
            case MapEvent.Elected e -> {
                elected = true;
                term = e.term();
                changes = 0;
            }
            case MapEvent.Deposed d -> deposed(turn);
            case MapEvent.Members m -> members = m.upstreams();
            case MapEvent.Targeted t -> targetGap = t.targetGap();
            case MapEvent.Reported r -> reported(r, turn);
            case MapEvent.Listed l -> listed(l, turn);
            case MapEvent.Counted c -> counted(c, turn);
            case MapEvent.Replied r -> {
                answers.note(r.reply() != RankReply.UNANSWERED);
                change.ifPresent(c -> c.replied(r.upstream(), r.order(), r.reply(), turn));
            }
            case MapEvent.Planned p -> planned(p.map(), turn);
            case MapEvent.Tick t -> tick(turn);
        }
        change.ifPresent(c -> afterChange(c, turn));
        return turn.actions();
    }

    /**
     * Says whether a change is under way that holds the group or may hold it.
     *
     * @return true if the process should not end now
     */
    public boolean isHolding() {
        return change.map(GroupChange::isHolding).orElse(false);
    }

    private void deposed(Turn turn) {
        elected = false;
        change.ifPresent(GroupChange::deposed);
        if (!isHolding()) {
            change = Optional.empty();
            enter(Phase.IDLE, turn);
        }
    }

    private void enter(Phase p, Turn turn) {
        phase = p;
        phaseNanos = turn.nowNanos();
        dueNanos = turn.nowNanos();
        reading.clear();
    }

    private void tick(Turn turn) {
        switch (phase) {
            case IDLE -> {
                if (elected && !members.isEmpty()) {
                    observe(Duration.ZERO, turn);
                }
            }
            case OBSERVING -> {
                if (reading.isEmpty() && turn.nowNanos() >= dueNanos) {
                    readAllReports(turn);
                }
            }
            case SAMPLING -> sample(turn);
            case CHANGING -> change.ifPresent(c -> c.tick(turn));
            case LISTING, PLANNING -> {
                if (turn.nowNanos() - phaseNanos > ANSWER_LIMIT.toNanos()) {
                    observe(Duration.ZERO, turn);
                }
            }
            default -> throw new IllegalStateException("unknown phase " + phase);
        }
    }

    private void observe(Duration after, Turn turn) {
        enter(elected ? Phase.OBSERVING : Phase.IDLE, turn);
        dueNanos = turn.nowNanos() + after.toNanos();
    }

    private void readAllReports(Turn turn) {
        reports.clear();
        for (String m : members) {
            reading.add(m);
            turn.add(new MapAction.ReadReport(m));
        }
        dueNanos = turn.nowNanos() + OBSERVE_INTERVAL.toNanos();
    }

    private void reported(MapEvent.Reported r, Turn turn) {
        change.ifPresent(c -> c.reported(r.upstream(), r.report(), turn));
        r.report().ifPresent(x -> noteSpeed(r.upstream(), x));
        if (isIdle()) {
            awaken(r, turn);
        }
        if (phase != Phase.OBSERVING || !reading.remove(r.upstream())) {
            return;
        }
        r.report().ifPresent(x -> reports.add(r.upstream(), x));
        if (reading.isEmpty()) {
            observed(turn);
        }
    }

    private boolean isIdle() {
        return phase == Phase.SAMPLING && passes.still() >= STILL_READS_TO_SAVE;
    }

    /** Looks for a new pass of an idle group in the report of one rank. */
    private void awaken(MapEvent.Reported r, Turn turn) {
        Optional<RankReport> report = r.report().filter(x -> x.open() && x.epoch() == epoch);
        report.ifPresent(x -> passes.note(x.step(), turn.nowNanos()));
        if (report.isEmpty() || passes.still() >= STILL_READS_TO_OBSERVE) {
            observe(Duration.ZERO, turn);
        } else if (!isIdle()) {
            dueNanos = turn.nowNanos();
        }
    }

    private void noteSpeed(String upstream, RankReport r) {
        int rank = ranks.indexOf(upstream);
        if (rank >= 0 && r.epoch() == epoch) {
            decision.ifPresent(d -> d.rankRuns(rank, speed(r)));
        }
    }

    private static double speed(RankReport r) {
        return 1 / Math.max(1, r.slowness());
    }

    /** Looks for a complete group in a whole round of reports, and for what an earlier controller left. */
    private void observed(Turn turn) {
        Optional<List<String>> whole = reports.wholeGroup();
        if (whole.isEmpty()) {
            return;
        }
        if (reports.of(whole.get().getFirst()).epoch() < newestEpoch && staleRounds < MAX_STALE_ROUNDS) {
            staleRounds++;
            dueNanos = turn.nowNanos() + STALE_INTERVAL.toNanos();
            return;
        }
        staleRounds = 0;
        newestEpoch = 0;
        adopt(whole.get(), turn);
        if (!reports.holding(ranks).isEmpty()) {
            enter(Phase.CHANGING, turn);
            next = Optional.empty();
            change = Optional.of(GroupChange.resume(ranks, epoch, passes, answers, reports, turn));
            return;
        }
        Set<Long> versions = reports.versionsInForce(ranks);
        if (versions.size() > 1 || !reports.armed(ranks).isEmpty()) {
            // A change is about to be in force: look again.
            return;
        }
        long inForce = versions.iterator().next();
        if (inForce == 0) {
            current = Optional.of(GroupMap.initial(profile.expertSets(), profile.expertsPerSet(), ranks.size()));
        }
        if (current.isPresent() && current.get().version() == inForce) {
            beginSampling(Duration.ZERO, turn);
        } else {
            list(turn);
        }
    }

    private void adopt(List<String> ids, Turn turn) {
        ranks = ids;
        RankReport first = reports.of(ids.getFirst());
        double[] speeds = ids.stream().mapToDouble(id -> speed(reports.of(id))).toArray();
        passes.reset(first.step(), turn.nowNanos());
        inForceFrom = 0;
        if (first.epoch() != epoch) {
            epoch = first.epoch();
            current = Optional.empty();
            decision.ifPresent(MapDecision::countsBeginAnew);
        }
        if (decision.isEmpty()) {
            decision = Optional.of(new MapDecision(profile, turn.nowNanos()));
        }
        decision.get().ranksRun(speeds);
    }

    private void list(Turn turn) {
        enter(Phase.LISTING, turn);
        lists.clear();
        ranks.forEach(id -> turn.add(new MapAction.ReadExperts(id)));
    }

    private void listed(MapEvent.Listed l, Turn turn) {
        if (phase != Phase.LISTING) {
            return;
        }
        int rank = ranks.indexOf(l.upstream());
        if (rank < 0 || l.experts().isEmpty()) {
            observe(OBSERVE_INTERVAL, turn);
            return;
        }
        lists.put(rank, l.experts().get());
        if (lists.size() == ranks.size()) {
            current = Optional.of(GroupMap.ofLists(l.version(), List.copyOf(lists.values()), profile.expertsPerSet()));
            beginSampling(Duration.ZERO, turn);
        }
    }

    private void beginSampling(Duration after, Turn turn) {
        enter(Phase.SAMPLING, turn);
        dueNanos = turn.nowNanos() + after.toNanos();
        misses = 0;
    }

    private void sample(Turn turn) {
        if (turn.nowNanos() < dueNanos) {
            return;
        }
        Duration interval = decision.orElseThrow().isKnown() ? effort().sampleInterval() : FIRST_INTERVAL;
        dueNanos = turn.nowNanos() + interval.toNanos();
        if (isIdle()) {
            turn.add(new MapAction.ReadReport(ranks.getFirst()));
            return;
        }
        if (turn.nowNanos() >= speedsDueNanos) {
            speedsDueNanos = turn.nowNanos() + effort().speedInterval().toNanos();
            ranks.forEach(id -> turn.add(new MapAction.ReadReport(id)));
        }
        int count = Math.min(SAMPLED_RANKS, ranks.size());
        for (int i = 0; i < count; i++) {
            String id = ranks.get(i * ranks.size() / count);
            if (reading.add(id)) {
                turn.add(new MapAction.ReadCounts(id));
            }
        }
    }

    private BalanceEffort effort() {
        return decision.orElseThrow().effort();
    }

    private void counted(MapEvent.Counted c, Turn turn) {
        if (phase != Phase.SAMPLING || !reading.remove(c.upstream())) {
            return;
        }
        if (c.counts().isEmpty()) {
            misses++;
            if (misses >= MISSES_TO_OBSERVE) {
                observe(Duration.ZERO, turn);
            }
            return;
        }
        MapEvent.Counts counts = c.counts().get();
        int rank = ranks.indexOf(c.upstream());
        if (counts.epoch() != epoch) {
            newestEpoch = counts.epoch();
            observe(Duration.ZERO, turn);
            return;
        }
        if (!decision.orElseThrow().read(rank, counts.counts())) {
            observe(OBSERVE_INTERVAL, turn);
            return;
        }
        misses = 0;
        passes.note(counts.step(), turn.nowNanos());
        if (reading.isEmpty()) {
            decide(turn);
        }
    }

    private void decide(Turn turn) {
        if (passes.still() >= STILL_READS_TO_OBSERVE) {
            observe(Duration.ZERO, turn);
            return;
        }
        if (passes.step() < inForceFrom) {
            awaitPass(turn);
            return;
        }
        decision.orElseThrow().passesTake(passes.passTime(), targetGap, turn.nowNanos());
        long version = term * VERSIONS_PER_TERM + changes + 1;
        Optional<MapAction.Plan> search =
                decision.orElseThrow().search(current.orElseThrow(), version, turn.nowNanos());
        if (search.isPresent()) {
            changes++;
            enter(Phase.PLANNING, turn);
            turn.add(search.get());
        }
    }

    /**
     * Waits for the pass in which the last change is in force: until then the ranks refuse to prepare another map. An
     * earlier order to hold it may be carried out late, so it is let begin again.
     */
    private void awaitPass(Turn turn) {
        waits++;
        if (waits > MANY_WAITS) {
            return;
        }
        dueNanos = turn.nowNanos() + AFTER_CHANGE.toNanos();
        if (waits > 1) {
            turn.add(new MapAction.Send(lastHolder, epoch, new RankOrder.Go(inForceFrom)));
        }
    }

    private void planned(GroupMap map, Turn turn) {
        if (phase != Phase.PLANNING) {
            return;
        }
        MapDecision d = decision.orElseThrow();
        GroupMap from = current.orElseThrow();
        if (!d.isWorthwhile(map, from)) {
            beginSampling(effort().sampleInterval(), turn);
            return;
        }
        turn.note("map-change-begun", d.describe(map, from));
        enter(Phase.CHANGING, turn);
        next = Optional.of(map);
        Duration copy = profile.expertCopyTime(map.mostNewOnOneRank(from));
        change = Optional.of(GroupChange.begin(ranks, epoch, passes, answers, map, copy, turn));
    }

    private void afterChange(GroupChange c, Turn turn) {
        switch (c.state()) {
            case IN_FORCE -> {
                change = Optional.empty();
                current = next;
                inForceFrom = c.step();
                lastHolder = c.holder();
                waits = 0;
                if (elected) {
                    decision.orElseThrow().lookAgain();
                    beginSampling(AFTER_CHANGE, turn);
                } else {
                    enter(Phase.IDLE, turn);
                }
            }
            case ENDED -> {
                change = Optional.empty();
                observe(GroupChange.REPORT_LAG, turn);
            }
            case PREPARING, HOLDING, ARMING, DISARMING, RELEASING -> {
                // It goes on.
            }
            default -> throw new IllegalStateException("unknown state " + c.state());
        }
    }
}
