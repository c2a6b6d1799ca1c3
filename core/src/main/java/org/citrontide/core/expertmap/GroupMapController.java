package org.citrontide.core.expertmap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.citrontide.core.routes.EngineProfile;

/**
 * Keeps the expert map of one group close to the demand, and changes it on all ranks in one pass.
 *
 * <p>A change goes: prepare on every rank; see it prepared on every rank; hold a later pass on one rank; arm every rank
 * for that pass; let the pass begin. Orders may be carried out late, so each is repeated until it is answered, and after
 * the hold the change only goes forward: whoever finds it under way arms the ranks that are not armed and lets the pass
 * begin.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A rank is armed only after every rank of the group has reported the map as prepared.
 *   <li>The held pass is let begin only after every rank has answered that it is armed for it, or if no rank was armed.
 *   <li>A version of a map is used by one term only.
 *   <li>A group that is found held is let go on by whoever controls it next.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock.
 */
public final class GroupMapController {
    // Demand moves every few seconds; each read of a rank's counts pauses its group for a fraction of a ms.
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(500);
    private static final Duration OBSERVE_INTERVAL = Duration.ofMillis(500);
    // Reports are this late at most; a state that was reached before is seen after it.
    private static final Duration REPORT_LAG = Duration.ofMillis(300);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    // A rank copies its new experts in well under a second.
    private static final Duration PREPARE_LIMIT = Duration.ofSeconds(4);
    private static final Duration HOLD_LIMIT = Duration.ofSeconds(2);
    // Time for an order to reach every rank before the held pass is due.
    private static final Duration ARM_AHEAD = Duration.ofMillis(60);
    private static final Duration USUAL_PASS = Duration.ofMillis(50);
    private static final int MAX_HOLDS_REFUSED = 5;
    private static final int HOLD_STEPS_MORE = 2;
    private static final int SAMPLED_RANKS = 2;
    private static final int MISSES_TO_OBSERVE = 2;
    private static final int STILL_SAMPLES_TO_OBSERVE = 6;
    // Counts of fewer choices are noise.
    private static final int LEAST_CHOICES = 1500;
    private static final double GOOD_SKEW = 1.2;
    // While demand moves every few seconds, a map is in force too briefly to repay more copies.
    private static final double MOVING_GAIN = 0.12;
    private static final double MOVING_STEP_GAIN = 0.01;
    private static final double STEADY_GAIN = 0.03;
    private static final double STEADY_STEP_GAIN = 0.001;
    private static final double STEADY_SKEW = 1.05;
    private static final Duration STEADY_AFTER = Duration.ofSeconds(8);
    private static final int VERSIONS_PER_TERM = 1_000_000;

    private enum Phase {
        IDLE,
        OBSERVING,
        LISTING,
        SAMPLING,
        PLANNING,
        PREPARING,
        HOLDING,
        ARMING,
        DISARMING,
        RELEASING
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
    private final Map<String, RankReport> reports = new HashMap<>();
    private final Map<Integer, int[][]> lists = new TreeMap<>();
    private String[] ranks = new String[0];
    private int epoch;
    private double[] speeds = new double[0];
    private GroupMap current;
    private DemandEstimate demand;
    private GroupMap next;
    private long version;
    private long holdStep;
    private String holder = "";
    private int holdsRefused;
    private final Set<String> pending = new HashSet<>();
    private final Set<String> resend = new HashSet<>();
    private long step;
    private long stepNanos;
    private double passNanos = USUAL_PASS.toNanos();
    private int misses;
    private int stillSamples;
    private boolean evaluateAgain;
    private long changedNanos;

    /**
     * Makes a controller of the groups of one service.
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
        Step s = new Step(nowNanos);
        switch (event) {
            case MapEvent.Elected e -> {
                elected = true;
                term = e.term();
                changes = 0;
            }
            case MapEvent.Deposed d -> s.deposed();
            case MapEvent.Members m -> members = m.upstreams();
            case MapEvent.Reported r -> s.reported(r);
            case MapEvent.Listed l -> s.listed(l);
            case MapEvent.Counted c -> s.counted(c);
            case MapEvent.Replied r -> s.replied(r);
            case MapEvent.Planned p -> s.planned(p.map());
            case MapEvent.Tick t -> s.tick();
        }
        return s.out;
    }

    /**
     * Says whether a change is under way that holds the group or may hold it.
     *
     * @return true if the process should not end now
     */
    public boolean isHolding() {
        return switch (phase) {
            case HOLDING, ARMING, DISARMING, RELEASING -> true;
            case IDLE, OBSERVING, LISTING, SAMPLING, PLANNING, PREPARING -> false;
        };
    }

    /** The handling of one event. */
    private final class Step {
        private final long nowNanos;
        private final List<MapAction> out = new ArrayList<>();

        private Step(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void deposed() {
            elected = false;
            // A hold that is not answered yet is left to the next controller, which may have found it already.
            if (phase == Phase.HOLDING || !isHolding()) {
                enter(Phase.IDLE);
            }
        }

        private void enter(Phase p) {
            phase = p;
            phaseNanos = nowNanos;
            dueNanos = nowNanos;
            pending.clear();
            resend.clear();
            reading.clear();
        }

        private void tick() {
            switch (phase) {
                case IDLE -> {
                    if (elected && !members.isEmpty()) {
                        observe(Duration.ZERO);
                    }
                }
                case OBSERVING -> {
                    if (reading.isEmpty() && nowNanos >= dueNanos) {
                        readAllReports();
                    }
                }
                case SAMPLING -> sample();
                case PREPARING -> prepareTick();
                case HOLDING -> holdTick();
                case ARMING -> {
                    resendAll(new RankOrder.Arm(version, holdStep));
                    pollReports(pending);
                }
                case DISARMING -> resendAll(new RankOrder.Disarm(version));
                case RELEASING -> resendAll(new RankOrder.Go(holdStep));
                case LISTING, PLANNING -> {
                    if (nowNanos - phaseNanos > PREPARE_LIMIT.toNanos()) {
                        observe(Duration.ZERO);
                    }
                }
            }
        }

        private void observe(Duration after) {
            if (!elected) {
                enter(Phase.IDLE);
                return;
            }
            enter(Phase.OBSERVING);
            dueNanos = nowNanos + after.toNanos();
        }

        private void readAllReports() {
            reports.clear();
            for (String m : members) {
                reading.add(m);
                out.add(new MapAction.ReadReport(m));
            }
            dueNanos = nowNanos + OBSERVE_INTERVAL.toNanos();
        }

        private void reported(MapEvent.Reported r) {
            reading.remove(r.upstream());
            r.report().ifPresent(x -> reports.put(r.upstream(), x));
            switch (phase) {
                case OBSERVING -> {
                    if (reading.isEmpty()) {
                        observed();
                    }
                }
                case PREPARING -> r.report().ifPresent(x -> seenWhilePreparing(r.upstream(), x));
                case ARMING -> r.report().ifPresent(x -> seenWhileArming(r.upstream(), x));
                case HOLDING, DISARMING, RELEASING -> r.report().ifPresent(this::checkEpoch);
                default -> {
                    // A late answer to an earlier phase.
                }
            }
        }

        private void checkEpoch(RankReport r) {
            if (r.epoch() != epoch || !r.open()) {
                note("map-change-ended-by-group", "epoch " + r.epoch() + " open " + r.open());
                observe(REPORT_LAG);
            }
        }

        /** Looks for a complete group in a whole round of reports, and for what an earlier controller left. */
        private void observed() {
            Map<String, List<String>> groups = new TreeMap<>();
            reports.forEach((id, r) ->
                    groups.computeIfAbsent(r.group(), g -> new ArrayList<>()).add(id));
            Optional<List<String>> whole =
                    groups.values().stream().filter(this::isWhole).findFirst();
            if (whole.isEmpty()) {
                return;
            }
            adopt(whole.get());
            if (resume()) {
                return;
            }
            Set<Long> versions = new HashSet<>();
            for (String id : ranks) {
                versions.add(reports.get(id).mapVersion());
            }
            if (versions.size() > 1) {
                return;
            }
            long inForce = versions.iterator().next();
            if (inForce == 0) {
                current = GroupMap.initial(profile.sets(), profile.experts(), ranks.length);
                beginSampling();
            } else if (current != null && current.version() == inForce) {
                beginSampling();
            } else {
                list();
            }
        }

        private boolean isWhole(List<String> ids) {
            RankReport first = reports.get(ids.getFirst());
            Set<Integer> numbers = new HashSet<>();
            for (String id : ids) {
                RankReport r = reports.get(id);
                if (r.open() && r.epoch() == first.epoch() && r.rank() < first.size()) {
                    numbers.add(r.rank());
                }
            }
            return numbers.size() == first.size() && ids.size() == first.size();
        }

        private void adopt(List<String> ids) {
            ranks = new String[ids.size()];
            speeds = new double[ids.size()];
            for (String id : ids) {
                RankReport r = reports.get(id);
                ranks[r.rank()] = id;
                speeds[r.rank()] = 1 / Math.max(1, r.slowness());
                if (r.epoch() != epoch) {
                    epoch = r.epoch();
                    current = null;
                    demand = null;
                }
                step = r.step();
                stepNanos = nowNanos;
            }
            if (demand == null) {
                demand = new DemandEstimate(profile.sets(), profile.experts());
            }
        }

        /** Finishes a change that is found under way; returns false if there is none. */
        private boolean resume() {
            OptionalLong armed = OptionalLong.empty();
            Map<String, Long> held = new HashMap<>();
            for (String id : ranks) {
                RankReport r = reports.get(id);
                armed = r.armed().isPresent() ? r.armed() : armed;
                r.heldStep().ifPresent(s -> held.put(id, s));
            }
            if (held.isEmpty()) {
                return armed.isPresent();
            }
            holder = held.keySet().iterator().next();
            holdStep = held.get(holder);
            OptionalLong ready = preparedOnAll();
            note("map-change-found", "held " + held + " armed " + armed + " prepared " + ready);
            if (ready.isPresent()) {
                version = ready.getAsLong();
                next = null;
                arm();
            } else if (armed.isPresent()) {
                version = armed.getAsLong();
                startOrders(Phase.DISARMING, armedRanks(), new RankOrder.Disarm(version));
            } else {
                release();
            }
            return true;
        }

        private OptionalLong preparedOnAll() {
            Set<Long> versions = new HashSet<>();
            for (String id : ranks) {
                RankReport r = reports.get(id);
                OptionalLong v = r.armed().isPresent() ? r.armed() : r.prepared();
                versions.add(v.orElse(-1));
            }
            long only = versions.iterator().next();
            return versions.size() == 1 && only > 0 ? OptionalLong.of(only) : OptionalLong.empty();
        }

        private List<String> armedRanks() {
            List<String> list = new ArrayList<>();
            for (String id : ranks) {
                if (reports.get(id).armed().isPresent()) {
                    list.add(id);
                }
            }
            return list;
        }

        private void list() {
            enter(Phase.LISTING);
            lists.clear();
            for (String id : ranks) {
                out.add(new MapAction.ReadExperts(id));
            }
        }

        private void listed(MapEvent.Listed l) {
            if (phase != Phase.LISTING) {
                return;
            }
            int rank = List.of(ranks).indexOf(l.upstream());
            if (rank < 0 || l.experts().isEmpty()) {
                observe(OBSERVE_INTERVAL);
                return;
            }
            lists.put(rank, l.experts().get());
            version = l.version();
            if (lists.size() == ranks.length) {
                current = GroupMap.ofLists(version, List.copyOf(lists.values()), profile.experts());
                beginSampling();
            }
        }

        private void beginSampling() {
            changedNanos = changedNanos == 0 ? nowNanos : changedNanos;
            enter(Phase.SAMPLING);
            misses = 0;
            stillSamples = 0;
        }

        private void sample() {
            if (!elected || nowNanos < dueNanos) {
                return;
            }
            dueNanos = nowNanos + SAMPLE_INTERVAL.toNanos();
            int count = Math.min(SAMPLED_RANKS, ranks.length);
            for (int i = 0; i < count; i++) {
                String id = ranks[i * ranks.length / count];
                if (reading.add(id)) {
                    out.add(new MapAction.ReadCounts(id));
                }
            }
        }

        private void counted(MapEvent.Counted c) {
            reading.remove(c.upstream());
            if (c.counts().isEmpty()) {
                misses++;
                if (phase == Phase.SAMPLING && misses >= MISSES_TO_OBSERVE) {
                    observe(Duration.ZERO);
                }
                return;
            }
            MapEvent.Counts counts = c.counts().get();
            int rank = List.of(ranks).indexOf(c.upstream());
            if (counts.epoch() != epoch || rank < 0 || counts.counts().length != profile.sets() * profile.experts()) {
                if (phase == Phase.SAMPLING) {
                    observe(Duration.ZERO);
                }
                return;
            }
            misses = 0;
            demand.read(rank, counts.counts());
            noteStep(counts.step());
            if (phase == Phase.SAMPLING && reading.isEmpty()) {
                evaluate();
            }
        }

        private void noteStep(long newest) {
            if (newest > step) {
                double each = (double) (nowNanos - stepNanos) / (newest - step);
                passNanos = Math.min(USUAL_PASS.toNanos() * 4.0, 0.5 * passNanos + 0.5 * each);
                step = newest;
                stepNanos = nowNanos;
                stillSamples = 0;
                return;
            }
            if (newest == step) {
                stillSamples++;
            }
        }

        private void evaluate() {
            if (stillSamples >= STILL_SAMPLES_TO_OBSERVE * SAMPLED_RANKS) {
                observe(Duration.ZERO);
                return;
            }
            boolean isFresh = demand.fold(LEAST_CHOICES);
            if (!isFresh && !evaluateAgain || step < holdStep && current.version() == version) {
                return;
            }
            evaluateAgain = false;
            List<RankLoads> loads = demand.loads(speeds, profile.placesPerRank());
            if (current.skew(loads) < (isSteady() ? STEADY_SKEW : GOOD_SKEW)) {
                return;
            }
            enter(Phase.PLANNING);
            long newVersion = term * VERSIONS_PER_TERM + ++changes;
            double leastGain = isSteady() ? STEADY_STEP_GAIN : MOVING_STEP_GAIN;
            out.add(new MapAction.Plan(current, loads, profile.newPerPrepare(), newVersion, leastGain));
        }

        private boolean isSteady() {
            return nowNanos - changedNanos > STEADY_AFTER.toNanos();
        }

        private void planned(GroupMap map) {
            if (phase != Phase.PLANNING) {
                return;
            }
            List<RankLoads> loads = demand.loads(speeds, profile.placesPerRank());
            double gain = 1 - map.passTime(loads) / current.passTime(loads);
            if (gain < (isSteady() ? STEADY_GAIN : MOVING_GAIN) || !elected) {
                beginSampling();
                dueNanos = nowNanos + SAMPLE_INTERVAL.toNanos();
                return;
            }
            changedNanos = gain >= MOVING_GAIN ? nowNanos : changedNanos;
            note(
                    "map-change-begun",
                    String.format(
                            "version %d skew %.2f to %.2f new %d step %d",
                            map.version(), current.skew(loads), map.skew(loads), map.mostNewOnOneRank(current), step));
            next = map;
            version = map.version();
            startOrders(Phase.PREPARING, List.of(ranks), new RankOrder.Prepare(map));
            reports.clear();
            dueNanos =
                    nowNanos + profile.copyTime(map.mostNewOnOneRank(current)).toNanos() + POLL_INTERVAL.toNanos();
        }

        private void startOrders(Phase p, List<String> targets, RankOrder order) {
            enter(p);
            for (String id : targets) {
                pending.add(id);
                out.add(new MapAction.Send(id, epoch, order));
            }
        }

        private void resendAll(RankOrder order) {
            for (String id : List.copyOf(resend)) {
                out.add(new MapAction.Send(id, epoch, order));
            }
            resend.clear();
        }

        private void prepareTick() {
            if (nowNanos - phaseNanos > PREPARE_LIMIT.toNanos() || !elected) {
                note("map-change-abandoned", "version " + version + " not prepared on " + pending.size());
                observe(Duration.ZERO);
                return;
            }
            resendAll(new RankOrder.Prepare(next));
            pollReports(pending);
        }

        private void pollReports(Set<String> of) {
            if (nowNanos < dueNanos) {
                return;
            }
            dueNanos = nowNanos + POLL_INTERVAL.toNanos();
            for (String id : of) {
                if (reading.add(id)) {
                    out.add(new MapAction.ReadReport(id));
                }
            }
        }

        private void seenWhilePreparing(String id, RankReport r) {
            if (r.epoch() != epoch || !r.open()) {
                checkEpoch(r);
                return;
            }
            if (r.prepared().isPresent() && r.prepared().getAsLong() == version) {
                pending.remove(id);
                resend.remove(id);
            }
            if (pending.isEmpty()) {
                holdsRefused = 0;
                hold(0);
            }
        }

        private void seenWhileArming(String id, RankReport r) {
            checkEpoch(r);
            if (phase == Phase.ARMING && r.step() >= holdStep) {
                note("map-change-ended-by-other", "version " + version + " pass " + holdStep);
                observe(REPORT_LAG);
            }
            boolean isArmed = r.armed().isPresent() && r.armed().getAsLong() == version;
            if (phase == Phase.ARMING && isArmed && pending.contains(id)) {
                resend.remove(id);
                done(id);
            }
        }

        private void hold(int more) {
            long ahead = (long) Math.ceil(ARM_AHEAD.toNanos() / passNanos) + 1 + more;
            long begun = step + (long) ((nowNanos - stepNanos) / passNanos);
            holdStep = begun + ahead;
            holder = ranks[(int) (holdStep % ranks.length)];
            startOrders(Phase.HOLDING, List.of(holder), new RankOrder.Hold(holdStep));
        }

        private void holdTick() {
            if (nowNanos - phaseNanos > HOLD_LIMIT.toNanos()) {
                release();
                return;
            }
            resendAll(new RankOrder.Hold(holdStep));
        }

        private void arm() {
            startOrders(Phase.ARMING, List.of(ranks), new RankOrder.Arm(version, holdStep));
            dueNanos = nowNanos + REPORT_LAG.toNanos();
        }

        private void release() {
            startOrders(Phase.RELEASING, List.of(holder), new RankOrder.Go(holdStep));
        }

        private void replied(MapEvent.Replied r) {
            boolean isCurrent = pending.contains(r.upstream()) && belongsHere(r.order());
            if (!isCurrent) {
                return;
            }
            switch (r.reply()) {
                case UNANSWERED -> resend.add(r.upstream());
                case REFUSED -> refused(r.upstream());
                case DONE -> done(r.upstream());
            }
        }

        private boolean belongsHere(RankOrder o) {
            return switch (o) {
                case RankOrder.Prepare p -> phase == Phase.PREPARING && p.map().version() == version;
                case RankOrder.Hold h -> phase == Phase.HOLDING && h.step() == holdStep;
                case RankOrder.Arm a -> phase == Phase.ARMING && a.version() == version && a.step() == holdStep;
                case RankOrder.Disarm d -> phase == Phase.DISARMING && d.version() == version;
                case RankOrder.Go g -> phase == Phase.RELEASING && g.step() == holdStep;
            };
        }

        private void refused(String id) {
            switch (phase) {
                case PREPARING -> {
                    // It has the version already, or the group has formed again: its report tells.
                }
                case HOLDING -> {
                    // The pass has begun, or the group has formed again.
                    holdsRefused++;
                    step = Math.max(step, holdStep);
                    stepNanos = nowNanos;
                    if (holdsRefused > MAX_HOLDS_REFUSED) {
                        observe(REPORT_LAG);
                    } else {
                        hold(holdsRefused * HOLD_STEPS_MORE);
                    }
                }
                case ARMING -> resend.add(id);
                case DISARMING, RELEASING -> done(id);
                default -> {
                    // No orders are under way.
                }
            }
        }

        private void done(String id) {
            if (phase == Phase.PREPARING) {
                return;
            }
            pending.remove(id);
            if (!pending.isEmpty()) {
                return;
            }
            switch (phase) {
                case HOLDING -> arm();
                case ARMING -> {
                    note("map-change-armed", "version " + version + " pass " + holdStep);
                    current = next == null ? current : next;
                    release();
                }
                case DISARMING -> release();
                case RELEASING -> released();
                default -> {
                    // No orders are under way.
                }
            }
        }

        private void released() {
            if (current != null && current.version() == version && elected) {
                evaluateAgain = true;
                beginSampling();
                dueNanos = nowNanos + POLL_INTERVAL.toNanos();
                return;
            }
            observe(REPORT_LAG);
        }

        private void note(String event, String detail) {
            out.add(new MapAction.Note(event, detail));
        }
    }
}
