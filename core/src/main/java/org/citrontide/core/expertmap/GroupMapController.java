package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.routes.EngineProfile;

/**
 * Adapts the expert map of one group to the demand while this process is the elected leader.
 *
 * <p>The ranks of a group run numbered passes together, and a new map takes effect in the same pass on all ranks.
 * In orders and reports, a step is the number of a pass.
 *
 * <p>Invariants: before a new change starts, the reports of all ranks are read, and a change found in progress is
 * completed; at most one change is in progress at a time; a map version is used in one term only.
 *
 * <p>The counts are read while a map is searched for and changed as well, because the demand may shift meanwhile.
 *
 * <p>Not thread-safe: confined to one thread. It does no I/O and reads no clock.
 */
final class GroupMapController {
    private static final Duration OBSERVE_INTERVAL = Duration.ofMillis(250);
    // Reports lag by about twice this interval.
    private static final Duration STALE_REPORT_INTERVAL = Duration.ofMillis(100);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final int MAX_FAILED_READS = 2;
    // Neither of the two sampled ranks reported a new pass: the group may be idle, and a report costs less than counts.
    private static final int UNCHANGED_READS_TO_IDLE = 2;
    // About three seconds without a pass: the group is idle or held.
    private static final int UNCHANGED_READS_TO_OBSERVE = 12;

    private enum Phase {
        IDLE,
        OBSERVING,
        READING_EXPERTS,
        SAMPLING,
        SEARCHING,
        CHANGING
    }

    private EngineProfile profile;
    private final ControlCosts costs;
    private List<String> members = List.of();
    private boolean isElected;
    private final MapVersionSequence versions;
    private Phase phase = Phase.IDLE;
    private long phaseStartNanos;
    private long nextActionNanos;
    private final DemandSampler sampler = new DemandSampler();
    private final Set<String> pendingReads = new HashSet<>();
    private final GroupReports reports = new GroupReports();
    private final OutdatedReports outdatedReports = new OutdatedReports();
    private ExpertReads expertReads;
    private List<String> ranks = List.of();
    private int epoch;
    private final PassEstimator passEstimator = new PassEstimator();
    private final RoundTimeEstimator roundTimeEstimator = new RoundTimeEstimator();
    private Duration targetGap = Duration.ZERO;
    private Optional<RebalancePolicy> rebalancePolicy = Optional.empty();
    private Optional<GroupMap> current = Optional.empty();
    private Optional<GroupMap> next = Optional.empty();
    private Optional<GroupMapChange> change = Optional.empty();
    private final FirstPassWait firstPassWait = new FirstPassWait();
    private int failedReads;
    private long nextSpeedReadNanos;
    private final HeldPassRecovery heldPassRecovery = new HeldPassRecovery();
    // Reports read from this time on show all that the orders of the last change have caused.
    private long reportsValidNanos;

    private final GroupLoadSummary loadSummary = new GroupLoadSummary();

    /**
     * Creates a controller for one group.
     *
     * @param profile sizes and speeds of the engines of the service
     * @param versions versions of the maps, shared with the controllers of other groups of the service
     * @param costs prices of reads, orders and copies
     */
    GroupMapController(EngineProfile profile, MapVersionSequence versions, ControlCosts costs) {
        this.profile = profile;
        this.costs = costs;
        this.expertReads = new ExpertReads(profile.expertsPerSet());
        this.versions = versions;
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return the actions for the shell, in order
     */
    List<MapAction> handle(MapEvent event, long nowNanos) {
        EventContext context = new EventContext(nowNanos);
        switch (event) {
            case MapEvent.Elected e -> {
                isElected = true;
                heldPassRecovery.startTerm();
                versions.startTerm(e.term());
            }
            case MapEvent.Deposed d -> handleDeposed(context);
            case MapEvent.MembersChanged m -> members = m.upstreams();
            case MapEvent.TargetGapChanged t -> targetGap = t.targetGap();
            case MapEvent.ProfileChanged p -> handleProfile(p.profile(), context);
            case MapEvent.ReportRead r -> handleReport(r, context);
            case MapEvent.ExpertsRead e -> handleExperts(e, context);
            case MapEvent.PreparedExpertsRead p -> change.ifPresent(c -> c.handlePreparedExperts(p, context));
            case MapEvent.CountsRead c -> handleCounts(c, context);
            case MapEvent.OrderEnded r -> {
                roundTimeEstimator.recordOrder(r.outcome() != OrderOutcome.UNANSWERED);
                change.ifPresent(c -> c.handleOutcome(r.upstream(), r.order(), r.outcome(), context));
            }
            case MapEvent.SearchEnded s -> handleSearchEnded(s.map(), context);
            case MapEvent.Tick t -> tick(context);
        }
        change.ifPresent(c -> handleChangeState(c, context));
        return context.actions();
    }

    /**
     * Returns whether a change in progress holds the group or may hold it.
     *
     * @return true if the process should not exit yet
     */
    boolean isHolding() {
        return change.map(GroupMapChange::isHolding).orElse(false);
    }

    private void handleDeposed(EventContext context) {
        isElected = false;
        change.ifPresent(GroupMapChange::endUnlessArming);
        if (!isHolding()) {
            change = Optional.empty();
            enterPhase(Phase.IDLE, context);
        }
    }

    /**
     * Begins anew with another profile. A change that holds the group is still completed, and which passes the ranks
     * are armed for stays known; maps and the demand are read from the ranks again.
     */
    private void handleProfile(EngineProfile newProfile, EventContext context) {
        profile = newProfile;
        expertReads = new ExpertReads(newProfile.expertsPerSet());
        rebalancePolicy = Optional.empty();
        current = Optional.empty();
        next = Optional.empty();
        change.ifPresent(GroupMapChange::endUnlessArming);
        if (change.isEmpty()) {
            startObserving(Duration.ZERO, context);
        }
    }

    private void enterPhase(Phase newPhase, EventContext context) {
        phase = newPhase;
        phaseStartNanos = context.nowNanos();
        nextActionNanos = context.nowNanos();
        pendingReads.clear();
    }

    private void tick(EventContext context) {
        switch (phase) {
            case IDLE -> {
                if (isElected && !members.isEmpty()) {
                    startObserving(Duration.ZERO, context);
                }
            }
            case OBSERVING -> {
                if (pendingReads.isEmpty() && context.nowNanos() >= nextActionNanos) {
                    readAllReports(context);
                }
            }
            case SAMPLING -> {
                readSamples(context);
                searchIfDue(context);
            }
            case CHANGING -> {
                readSamples(context);
                change.ifPresent(c -> c.tick(context));
            }
            case SEARCHING -> {
                readSamples(context);
                observeIfOverdue(context);
            }
            case READING_EXPERTS -> observeIfOverdue(context);
            default -> throw new IllegalStateException("unknown phase " + phase);
        }
    }

    private void observeIfOverdue(EventContext context) {
        if (context.nowNanos() - phaseStartNanos > RESPONSE_TIMEOUT.toNanos()) {
            startObserving(Duration.ZERO, context);
        }
    }

    private void startObserving(Duration after, EventContext context) {
        enterPhase(isElected ? Phase.OBSERVING : Phase.IDLE, context);
        nextActionNanos = Math.max(context.nowNanos() + after.toNanos(), reportsValidNanos);
    }

    private void readAllReports(EventContext context) {
        reports.clear();
        for (String m : members) {
            pendingReads.add(m);
            context.add(new MapAction.ReadReport(m));
        }
        nextActionNanos = context.nowNanos() + OBSERVE_INTERVAL.toNanos();
    }

    private void handleReport(MapEvent.ReportRead read, EventContext context) {
        change.ifPresent(c -> c.handleReport(read.upstream(), read.report(), context));
        read.report().ifPresent(report -> {
            recordSpeed(read.upstream(), report);
            loadSummary.record(read.upstream(), report).ifPresent(detail -> context.log("group-load", detail));
        });
        if (!ranks.isEmpty() && read.upstream().equals(ranks.getFirst())) {
            Optional<RankReport> own = read.report().filter(r -> r.isOpen() && r.epoch() == epoch);
            rebalancePolicy.ifPresent(p -> p.budget().recordReport(own, targetGap, context.nowNanos()));
            if (isIdle()) {
                checkForNewPass(read, context);
            }
        }
        if (phase != Phase.OBSERVING || !pendingReads.remove(read.upstream())) {
            return;
        }
        read.report().ifPresent(report -> reports.add(read.upstream(), report));
        if (pendingReads.isEmpty()) {
            evaluateReports(context);
        }
    }

    private boolean isIdle() {
        return phase == Phase.SAMPLING && passEstimator.unchangedReads() >= UNCHANGED_READS_TO_IDLE;
    }

    /** Checks the report of one rank of an idle group for a new pass. */
    private void checkForNewPass(MapEvent.ReportRead read, EventContext context) {
        Optional<RankReport> report = read.report().filter(x -> x.isOpen() && x.epoch() == epoch);
        report.ifPresent(x -> passEstimator.recordStep(x.step(), context.nowNanos()));
        if (report.isEmpty() || passEstimator.unchangedReads() >= UNCHANGED_READS_TO_OBSERVE) {
            startObserving(Duration.ZERO, context);
        } else if (!isIdle()) {
            sampler.schedule(Duration.ZERO, context.nowNanos());
        }
    }

    private void recordSpeed(String upstream, RankReport r) {
        int rank = ranks.indexOf(upstream);
        if (rank >= 0 && r.epoch() == epoch) {
            rebalancePolicy.ifPresent(p -> p.updateRankSpeed(rank, r.speed()));
        }
    }

    /** Evaluates a full round of reports: looks for a complete group and for a change that was left unfinished. */
    private void evaluateReports(EventContext context) {
        Optional<List<String>> completeGroup = reports.completeGroup();
        if (completeGroup.isEmpty()) {
            return;
        }
        if (outdatedReports.mustReadAgain(
                reports.of(completeGroup.get().getFirst()).epoch())) {
            nextActionNanos = context.nowNanos() + STALE_REPORT_INTERVAL.toNanos();
            return;
        }
        adoptGroup(completeGroup.get(), context);
        if (!reports.holdingRanks(ranks).isEmpty()) {
            if (heldPassRecovery.mustReadAgain(ranks, reports, context.nowNanos())) {
                nextActionNanos = context.nowNanos() + GroupMapChange.REPORT_LAG.toNanos();
                return;
            }
            enterPhase(Phase.CHANGING, context);
            next = Optional.empty();
            Optional<ArmedSwitch> armed = heldPassRecovery.pendingSwitch(ranks, reports);
            change = Optional.of(
                    GroupMapChange.resume(ranks, epoch, passEstimator, roundTimeEstimator, reports, armed, context));
            return;
        }
        Set<Long> versions = reports.versionsInForce(ranks);
        if (versions.size() > 1 || !reports.armedRanks(ranks).isEmpty()) {
            // A change is about to be in force: read the reports again.
            return;
        }
        long inForce = versions.iterator().next();
        if (inForce == 0) {
            current = Optional.of(GroupMap.initial(profile.expertSets(), profile.expertsPerSet(), ranks.size()));
        }
        if (current.isPresent() && current.get().version() == inForce) {
            startSampling(context);
        } else {
            readExperts(context);
        }
    }

    private void adoptGroup(List<String> ids, EventContext context) {
        ranks = ids;
        sampler.clear();
        RankReport first = reports.of(ids.getFirst());
        double[] speeds = ids.stream().mapToDouble(id -> reports.of(id).speed()).toArray();
        passEstimator.reset(first.step(), context.nowNanos());
        firstPassWait.clear();
        if (first.epoch() != epoch) {
            epoch = first.epoch();
            current = Optional.empty();
            rebalancePolicy.ifPresent(RebalancePolicy::resetCounters);
        }
        rebalancePolicy =
                rebalancePolicy.or(() -> Optional.of(new RebalancePolicy(profile, costs, context.nowNanos())));
        rebalancePolicy.get().setRankSpeeds(speeds);
    }

    private void readExperts(EventContext context) {
        enterPhase(Phase.READING_EXPERTS, context);
        expertReads.request(ranks, context);
    }

    private void handleExperts(MapEvent.ExpertsRead read, EventContext context) {
        if (phase != Phase.READING_EXPERTS) {
            return;
        }
        int rank = ranks.indexOf(read.upstream());
        if (rank < 0 || read.experts().isEmpty()) {
            startObserving(OBSERVE_INTERVAL, context);
            return;
        }
        Optional<GroupMap> complete = expertReads.add(rank, read.experts().get(), read.version(), ranks.size());
        if (complete.isPresent()) {
            current = complete;
            startSampling(context);
        }
    }

    private void startSampling(EventContext context) {
        enterPhase(Phase.SAMPLING, context);
        failedReads = 0;
    }

    /** Reads the counts of a few ranks if that is due. While a map is searched for or changed, the demand may shift. */
    private void readSamples(EventContext context) {
        if (!isElected || rebalancePolicy.isEmpty() || !sampler.isDue(context.nowNanos())) {
            return;
        }
        RebalancePolicy policy = rebalancePolicy.orElseThrow();
        sampler.schedule(policy.decisionInterval(context.nowNanos()), context.nowNanos());
        if (isIdle()) {
            context.add(new MapAction.ReadReport(ranks.getFirst()));
            return;
        }
        if (phase == Phase.SAMPLING && context.nowNanos() >= nextSpeedReadNanos) {
            nextSpeedReadNanos =
                    context.nowNanos() + policy.parameters().speedInterval().toNanos();
            loadSummary.start(ranks, profile.slots());
            ranks.forEach(id -> context.add(new MapAction.ReadReport(id)));
        }
        boolean isRequired = !firstPassWait.isOver(passEstimator) || phase == Phase.CHANGING || failedReads > 0;
        int count = policy.ranksToRead(isRequired, context);
        sampler.requestReads(ranks, count, context);
        if (count == 0) {
            context.add(new MapAction.ReadReport(ranks.getFirst()));
        }
    }

    private void handleCounts(MapEvent.CountsRead read, EventContext context) {
        if (!sampler.recordEnd(read.upstream()) || !isSampled()) {
            return;
        }
        if (read.counts().isEmpty()) {
            failedReads++;
            if (phase == Phase.SAMPLING && failedReads >= MAX_FAILED_READS) {
                startObserving(Duration.ZERO, context);
            }
            return;
        }
        MapEvent.ExpertCounts counts = read.counts().get();
        if (counts.epoch() != epoch) {
            handleNewEpoch(counts.epoch(), context);
            return;
        }
        int rank = ranks.indexOf(read.upstream());
        if (!rebalancePolicy.orElseThrow().recordCounts(rank, counts.counts())) {
            if (phase == Phase.SAMPLING) {
                startObserving(OBSERVE_INTERVAL, context);
            }
            return;
        }
        failedReads = 0;
        passEstimator.recordStep(counts.step(), context.nowNanos());
        if (sampler.isComplete()) {
            handleSample(context);
        }
    }

    private boolean isSampled() {
        return rebalancePolicy.isPresent()
                && (phase == Phase.SAMPLING || phase == Phase.SEARCHING || phase == Phase.CHANGING);
    }

    /** Handles a new formation of the group. A change that may hold it ends by its own reads. */
    private void handleNewEpoch(int newEpoch, EventContext context) {
        outdatedReports.recordEpoch(newEpoch);
        if (!isHolding()) {
            change = Optional.empty();
            startObserving(Duration.ZERO, context);
        }
    }

    /** Handles the counts of all sampled ranks. */
    private void handleSample(EventContext context) {
        RebalancePolicy policy = rebalancePolicy.orElseThrow();
        policy.updatePassTime(passEstimator.passTime(), targetGap, context.nowNanos());
        policy.updateDemand(context.nowNanos());
        if (policy.hasDemandEstimate() && current.isPresent()) {
            context.log("group-demand", passEstimator.describe() + " " + policy.describeDemand(current.get()));
        }
        if (phase == Phase.CHANGING) {
            abandonOutdatedChange(context);
        } else if (phase == Phase.SAMPLING && passEstimator.unchangedReads() >= UNCHANGED_READS_TO_OBSERVE) {
            startObserving(Duration.ZERO, context);
        } else if (phase == Phase.SAMPLING && !firstPassWait.isOver(passEstimator)) {
            firstPassWait.handleSample(sampler, passEstimator, epoch, context);
        }
    }

    /** Abandons a change that doesn't hold the group yet if its map no longer fits the demand. */
    private void abandonOutdatedChange(EventContext context) {
        if (isHolding() || next.isEmpty() || current.isEmpty()) {
            return;
        }
        RebalancePolicy policy = rebalancePolicy.orElseThrow();
        if (policy.isWorthwhile(next.get(), current.get())) {
            return;
        }
        context.log("map-change-abandoned", "version " + next.get().version() + " no longer fits the demand");
        change = Optional.empty();
        policy.requestEvaluation();
        startSampling(context);
    }

    /** Starts a search if the last change is in force and the map may not fit the demand. */
    private void searchIfDue(EventContext context) {
        if (phase != Phase.SAMPLING || !firstPassWait.isOver(passEstimator)) {
            return;
        }
        Optional<MapAction.SearchMap> search =
                rebalancePolicy.orElseThrow().nextSearch(current.orElseThrow(), versions.peek(), context.nowNanos());
        if (search.isPresent()) {
            versions.advance();
            enterPhase(Phase.SEARCHING, context);
            context.add(search.get());
        }
    }

    private void handleSearchEnded(GroupMap map, EventContext context) {
        if (phase != Phase.SEARCHING) {
            return;
        }
        RebalancePolicy policy = rebalancePolicy.orElseThrow();
        GroupMap from = current.orElseThrow();
        if (!policy.paysOff(map, from, context)) {
            startSampling(context);
            return;
        }
        context.log("map-change-started", policy.describe(map, from));
        enterPhase(Phase.CHANGING, context);
        next = Optional.of(map);
        Duration copy = profile.expertCopyTime(map.maxNewExpertsPerRank(from));
        change = Optional.of(GroupMapChange.begin(ranks, epoch, passEstimator, roundTimeEstimator, map, copy, context));
    }

    private void handleChangeState(GroupMapChange c, EventContext context) {
        if (!c.isOver()) {
            return;
        }
        change = Optional.empty();
        heldPassRecovery.recordEnd(c);
        reportsValidNanos = context.nowNanos() + GroupMapChange.REPORT_LAG.toNanos();
        if (c.state() == GroupMapChange.State.ENDED || next.isEmpty()) {
            startObserving(Duration.ZERO, context);
            return;
        }
        current = next;
        firstPassWait.start(c);
        if (!isElected) {
            enterPhase(Phase.IDLE, context);
            return;
        }
        rebalancePolicy.orElseThrow().requestEvaluation();
        startSampling(context);
        firstPassWait.scheduleSample(sampler, passEstimator, context);
    }
}
