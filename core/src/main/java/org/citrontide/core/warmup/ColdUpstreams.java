package org.citrontide.core.warmup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.citrontide.core.routes.ColdRule;
import org.citrontide.core.routes.ListedUpstream;

/**
 * Decides which upstreams are cold, and when this gateway may send them a request.
 *
 * <p>Handles traffic that reaches freshly started upstreams from many gateways at once: one upstream that restarted,
 * all of a service, or those of a zone that returned. Each gateway sends only in its own turns, see {@link TurnShare},
 * and after the cold time the number of requests per turn doubles in steps until the limit ends.
 *
 * <p>Invariants: an upstream whose service has no {@link ColdRule} is never limited; the newest observation of an
 * upstream's status holds, except that one that may be older doesn't shorten its cold time. Does no I/O and reads no
 * clock. Not thread-safe: confined to the dispatcher's thread.
 */
public final class ColdUpstreams {
    // Each step lasts as long as two ticks and a round trip, so that a response can report a new cold time in between.
    private static final Duration WARMING_STEP = Duration.ofMillis(250);
    // After three doublings, the gateways together send eight times the rate of a cold upstream.
    private static final int WARMING_STEPS = 3;
    private static final Duration UNBOUNDED = Duration.ofDays(1);
    private static final double MILLIS_TO_NANOS = 1e6;

    /** State of one upstream. */
    private static final class Tracked {
        private ListedUpstream entry;
        private Optional<ColdStatus> status = Optional.empty();
        private long coldUntilNanos;
        private Optional<TurnShare> share = Optional.empty();
        private ColdChange.Phase reported = ColdChange.Phase.WARM;

        Tracked(ListedUpstream entry) {
            this.entry = entry;
        }
    }

    private final ColdSettings settings;
    private final RandomGenerator random;
    private final Map<String, Tracked> byId = new HashMap<>();
    private Map<String, ColdRule> rules = Map.of();
    private Optional<TurnOrder> order = Optional.empty();
    private final List<Tracked> removed = new ArrayList<>();
    private boolean hasList;
    private boolean mayLimit;

    /**
     * Creates the state of a gateway that knows no upstream.
     *
     * @param settings excess over the rate that is allowed
     * @param random source of randomness for the turns while the other gateways are not known
     */
    public ColdUpstreams(ColdSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Replaces the rules.
     *
     * @param newRules rule by service, without the services that have none
     * @param nowNanos monotonic time in ns
     */
    public void setRules(Map<String, ColdRule> newRules, long nowNanos) {
        if (newRules.equals(rules)) {
            return;
        }
        rules = Map.copyOf(newRules);
        byId.values().forEach(t -> {
            t.share = Optional.empty();
            t.status.ifPresent(s -> t.coldUntilNanos = s.untilNanos(coldTime(t)));
            updateShare(t, nowNanos);
        });
    }

    /**
     * Replaces the order of the gateways' turns.
     *
     * @param newOrder the order
     * @param nowNanos monotonic time in ns
     */
    public void setOrder(TurnOrder newOrder, long nowNanos) {
        order = Optional.of(newOrder);
        byId.values().forEach(t -> t.share.ifPresent(s -> s.setOrder(newOrder, nowNanos)));
    }

    /**
     * Updates the list of upstreams.
     *
     * @param list all usable upstreams
     * @param nowNanos monotonic time in ns
     */
    public void updateEntries(List<ListedUpstream> list, long nowNanos) {
        Map<String, Integer> appeared = new HashMap<>();
        Set<String> present = new HashSet<>();
        for (ListedUpstream l : list) {
            present.add(l.id());
            if (!isTracked(l)) {
                appeared.merge(l.service(), 1, Integer::sum);
            }
        }
        byId.values().stream()
                .filter(t -> t.reported != ColdChange.Phase.WARM && !present.contains(t.entry.id()))
                .forEach(removed::add);
        byId.keySet().retainAll(present);
        for (ListedUpstream l : list) {
            if (isTracked(l)) {
                updateEntry(byId.get(l.id()), l, nowNanos);
            } else {
                add(l, appeared.get(l.service()) > 1, nowNanos);
            }
        }
        hasList |= !list.isEmpty();
    }

    /**
     * Records what a response says.
     *
     * @param upstream the upstream
     * @param remaining how long it stays cold, 0 if it is warm
     * @param nowNanos monotonic time in ns at which the head was received
     */
    public void recordResponse(ListedUpstream upstream, Duration remaining, long nowNanos) {
        if (isTracked(upstream)) {
            observe(byId.get(upstream.id()), new ColdStatus(ColdStatus.Source.RESPONSE, nowNanos, remaining), nowNanos);
        }
    }

    /**
     * Records that zones were put back into service.
     *
     * @param zones names of the zones
     * @param nowNanos monotonic time in ns
     */
    public void recordReturn(Set<String> zones, long nowNanos) {
        ColdStatus status = new ColdStatus(ColdStatus.Source.ZONE, nowNanos, UNBOUNDED);
        byId.values().stream().filter(t -> zones.contains(t.entry.zone())).forEach(t -> observe(t, status, nowNanos));
    }

    /**
     * Returns whether a service has a rule for its cold upstreams.
     *
     * @param service name of the service
     * @return true if its upstreams can be limited
     */
    public boolean hasRule(String service) {
        return rules.containsKey(service);
    }

    /**
     * Returns whether an upstream may be limited now.
     *
     * @return false if none is
     */
    public boolean mayLimit() {
        return mayLimit;
    }

    /**
     * Returns whether any service has a rule.
     *
     * @return true if upstreams can be limited
     */
    public boolean hasRules() {
        return !rules.isEmpty();
    }

    /**
     * Returns the time from which a request may be sent to an upstream.
     *
     * @param upstream the upstream
     * @param nowNanos monotonic time in ns
     * @return monotonic time in ns, {@code nowNanos} if one may be sent now
     */
    public long nextOpenNanos(ListedUpstream upstream, long nowNanos) {
        Tracked t = byId.get(upstream.id());
        if (t == null || t.share.isEmpty() || phase(t, nowNanos) == ColdChange.Phase.WARM) {
            return nowNanos;
        }
        return Math.min(warmNanos(t), t.share.get().nextOpenNanos(usesPerTurn(t, nowNanos), nowNanos));
    }

    /**
     * Returns how many requests this gateway may send to an upstream in the long run.
     *
     * @param upstream the upstream
     * @param nowNanos monotonic time in ns
     * @return requests per second, infinite if the upstream is not limited
     */
    public double ratePerSecond(ListedUpstream upstream, long nowNanos) {
        Tracked t = byId.get(upstream.id());
        return t == null || t.share.isEmpty()
                ? Double.POSITIVE_INFINITY
                : t.share.get().perSecond() * usesPerTurn(t, nowNanos);
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param upstream the upstream
     * @param nowNanos monotonic time in ns
     */
    public void recordSent(ListedUpstream upstream, long nowNanos) {
        Tracked t = byId.get(upstream.id());
        if (t != null) {
            t.share.ifPresent(s -> s.recordSent(usesPerTurn(t, nowNanos), nowNanos));
        }
    }

    /**
     * Returns the upstreams whose phase changed since the last call.
     *
     * @param nowNanos monotonic time in ns
     * @return the changes
     */
    public List<ColdChange> pollChanges(long nowNanos) {
        if (!mayLimit && removed.isEmpty()) {
            return List.of();
        }
        List<Tracked> changed = new ArrayList<>(removed);
        removed.forEach(t -> t.reported = ColdChange.Phase.WARM);
        removed.clear();
        Map<String, Integer> cold = new HashMap<>();
        for (Tracked t : byId.values()) {
            ColdChange.Phase phase = phase(t, nowNanos);
            if (phase == ColdChange.Phase.COLD) {
                cold.merge(t.entry.service(), 1, Integer::sum);
            }
            if (phase != t.reported) {
                t.reported = phase;
                changed.add(t);
            }
            if (phase == ColdChange.Phase.WARM) {
                t.share = Optional.empty();
            }
        }
        mayLimit = byId.values().stream().anyMatch(t -> t.share.isPresent());
        return changed.stream()
                .map(t -> change(t, cold.getOrDefault(t.entry.service(), 0), nowNanos))
                .toList();
    }

    private ColdChange change(Tracked t, int coldUpstreams, long nowNanos) {
        ColdStatus s = t.status.orElse(new ColdStatus(ColdStatus.Source.APPEARANCE, nowNanos, Duration.ZERO));
        return new ColdChange(
                t.entry,
                t.reported,
                s.source(),
                Duration.ofNanos(nowNanos - s.observedNanos()),
                Duration.ofNanos(Math.max(0, t.coldUntilNanos - nowNanos)),
                coldUpstreams);
    }

    private boolean isTracked(ListedUpstream l) {
        Tracked t = byId.get(l.id());
        return t != null && t.entry.isSameInstance(l);
    }

    private void updateEntry(Tracked t, ListedUpstream l, long nowNanos) {
        boolean isNew = l.receivedNanos() != t.entry.receivedNanos();
        t.entry = l;
        if (isNew) {
            entryStatus(l, nowNanos).ifPresent(s -> observe(t, s, nowNanos));
        }
    }

    private void add(ListedUpstream l, boolean isTogether, long nowNanos) {
        Tracked t = new Tracked(l);
        Optional.ofNullable(byId.put(l.id(), t)).ifPresent(old -> t.reported = old.reported);
        Optional<ColdStatus> stated = entryStatus(l, nowNanos);
        if (hasList && (isTogether || stated.isEmpty())) {
            observe(t, new ColdStatus(ColdStatus.Source.APPEARANCE, nowNanos, UNBOUNDED), nowNanos);
        }
        stated.or(() -> ageStatus(l, nowNanos)).ifPresent(s -> observe(t, s, nowNanos));
    }

    private static Optional<ColdStatus> entryStatus(ListedUpstream l, long nowNanos) {
        long receivedNanos = l.receivedNanos() == 0 ? nowNanos : l.receivedNanos();
        return l.coldRemaining().map(r -> new ColdStatus(ColdStatus.Source.ENTRY, receivedNanos, r));
    }

    /** Returns the status of an upstream that the gateway finds in its first list, from the time of its start. */
    private Optional<ColdStatus> ageStatus(ListedUpstream l, long nowNanos) {
        if (hasList || l.startedMillis() == 0) {
            return Optional.empty();
        }
        return order.filter(TurnOrder::isClockKnown)
                .map(o -> Math.min(nowNanos, o.epochNanos() + (long) (l.startedMillis() * MILLIS_TO_NANOS)))
                .map(startNanos -> new ColdStatus(ColdStatus.Source.AGE, startNanos, UNBOUNDED));
    }

    private void observe(Tracked t, ColdStatus next, long nowNanos) {
        ColdStatus current = t.status.map(s -> s.updatedBy(next, coldTime(t))).orElse(next);
        boolean isStillWarm =
                t.status.isPresent() && current.remaining().isZero() && t.coldUntilNanos <= current.observedNanos();
        t.status = Optional.of(current);
        // Another report that it is warm doesn't restart its warming.
        t.coldUntilNanos = isStillWarm ? t.coldUntilNanos : current.untilNanos(coldTime(t));
        updateShare(t, nowNanos);
    }

    private Duration coldTime(Tracked t) {
        return Optional.ofNullable(rules.get(t.entry.service()))
                .map(ColdRule::duration)
                .orElse(UNBOUNDED);
    }

    private void updateShare(Tracked t, long nowNanos) {
        ColdRule rule = rules.get(t.entry.service());
        if (rule == null || t.share.isPresent() || phase(t, nowNanos) == ColdChange.Phase.WARM) {
            return;
        }
        if (order.isEmpty()) {
            order = Optional.of(TurnOrder.unknown(random.nextInt()));
        }
        mayLimit = true;
        t.share = Optional.of(new TurnShare(t.entry.id(), rule, settings, order.get(), nowNanos));
    }

    private ColdChange.Phase phase(Tracked t, long nowNanos) {
        if (t.status.isEmpty() || !hasRule(t.entry.service()) || nowNanos >= warmNanos(t)) {
            return ColdChange.Phase.WARM;
        }
        if (nowNanos < t.coldUntilNanos) {
            return ColdChange.Phase.COLD;
        }
        // Without a share, it was never known to be cold.
        return t.share.isPresent() ? ColdChange.Phase.WARMING : ColdChange.Phase.WARM;
    }

    /** Returns how many requests this gateway may send in one of its turns. */
    private int usesPerTurn(Tracked t, long nowNanos) {
        long warmingNanos = nowNanos - t.coldUntilNanos;
        return warmingNanos < 0 ? 1 : 2 << Math.min(WARMING_STEPS, warmingNanos / WARMING_STEP.toNanos());
    }

    private static long warmNanos(Tracked t) {
        return t.coldUntilNanos + WARMING_STEPS * WARMING_STEP.toNanos();
    }
}
