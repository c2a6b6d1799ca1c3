package org.citrontide.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which parts of prompts are not sent to upstreams because they crash them.
 *
 * <p>Handles requests that share one part, arrive at all gateways, and crash each upstream that begins to answer them,
 * among many requests that share their other parts, and beside crashes that have other causes. A part is suspected in
 * each crash of an upstream that had not begun to answer a prompt with it. It is quarantined once it was suspected in
 * several incidents since an upstream last answered a prompt with it, unless a more suspicious part explains them.
 *
 * <p>Invariants: an answer clears a part of all earlier crashes, wherever they were observed; another incident never
 * shortens a quarantine. Not thread-safe. Reads no clock.
 */
public final class PromptQuarantine {
    private static final Duration FIRST_QUARANTINE = Duration.ofMinutes(10);
    private static final int MAX_DOUBLINGS = 3;
    private static final Duration MAX_QUARANTINE = Duration.ofHours(1);
    // Each crash that led to the longest quarantine counts until its end.
    private static final int MAX_INCIDENTS = 6;

    /** Time for which a crash counts. */
    public static final Duration RETENTION = MAX_QUARANTINE.multipliedBy(MAX_INCIDENTS);

    // Bounds the memory for the parts seen; those in use stay.
    private static final int MAX_PARTS = 8192;

    private final Map<String, Long> ownAnswers = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };
    private final Map<String, Long> reportedAnswers = new HashMap<>();
    private final Map<String, Map<String, Long>> crashesByPart = new HashMap<>();
    private final Map<String, Integer> positions = new HashMap<>();
    private Map<String, Quarantine> quarantined = Map.of();
    private Map<String, Quarantine> reported = Map.of();

    /** The quarantine of one part. */
    private record Quarantine(int incidents, int upstreams, long endNanos) {}

    /**
     * A part that entered or left quarantine. Immutable.
     *
     * @param part identifier of the part
     * @param isQuarantined whether prompts with the part are refused from now on
     * @param incidents number of incidents in which the part was suspected
     * @param upstreams number of upstreams that crashed in them
     */
    public record Decision(String part, boolean isQuarantined, int incidents, int upstreams) {}

    /**
     * Records that an upstream is answering a prompt without a crash.
     *
     * @param parts shared parts of the prompt
     * @param nowNanos monotonic time in ns
     * @return the parts that were suspected until now, whose answer other gateways should know of
     */
    public List<String> recordAnswer(List<String> parts, long nowNanos) {
        List<String> cleared = new ArrayList<>();
        for (String p : parts) {
            if (!crashes(p, nowNanos).isEmpty()) {
                cleared.add(p);
            }
            ownAnswers.put(p, nowNanos);
        }
        if (!cleared.isEmpty()) {
            update(nowNanos);
        }
        return cleared;
    }

    /**
     * Replaces the evidence of all gateways, including this one.
     *
     * @param evidence all observations in any order
     * @param nowNanos monotonic time in ns
     */
    public void replaceEvidence(Collection<CrashEvidence> evidence, long nowNanos) {
        crashesByPart.clear();
        positions.clear();
        reportedAnswers.clear();
        for (CrashEvidence e : evidence) {
            switch (e) {
                case CrashEvidence.Crash c -> c.prompts().forEach(prompt -> addCrash(c, prompt));
                case CrashEvidence.Answer a -> reportedAnswers.merge(a.part(), a.observedNanos(), Math::max);
            }
        }
        update(nowNanos);
    }

    /**
     * Returns whether a prompt may have crashed an upstream: one of its parts was never seen to be answered.
     *
     * @param parts shared parts of the prompt
     * @return false if the prompt has no shared part or each of them was answered before
     */
    public boolean isUnproven(List<String> parts) {
        return parts.stream().anyMatch(p -> lastAnswer(p).isEmpty());
    }

    /**
     * Returns for how long a prompt must not be sent to an upstream.
     *
     * @param parts shared parts of the prompt
     * @param nowNanos monotonic time in ns
     * @return remaining time of the longest quarantine of its parts, empty if none is in quarantine
     */
    public Optional<Duration> remaining(List<String> parts, long nowNanos) {
        return parts.stream()
                .filter(quarantined::containsKey)
                .map(p -> quarantined.get(p).endNanos() - nowNanos)
                .filter(left -> left > 0)
                .max(Long::compare)
                .map(Duration::ofNanos);
    }

    /**
     * Returns the parts that entered or left quarantine since the last call.
     *
     * @param nowNanos monotonic time in ns
     * @return the changes
     */
    public List<Decision> pollDecisions(long nowNanos) {
        update(nowNanos);
        List<Decision> changes = new ArrayList<>();
        quarantined.forEach((part, q) -> {
            if (!reported.containsKey(part)) {
                changes.add(new Decision(part, true, q.incidents(), q.upstreams()));
            }
        });
        reported.forEach((part, q) -> {
            if (!quarantined.containsKey(part)) {
                changes.add(new Decision(part, false, q.incidents(), q.upstreams()));
            }
        });
        reported = quarantined;
        return changes;
    }

    private void addCrash(CrashEvidence.Crash crash, List<String> prompt) {
        for (int i = 0; i < prompt.size(); i++) {
            positions.merge(prompt.get(i), i, Math::min);
            crashesByPart
                    .computeIfAbsent(prompt.get(i), k -> new TreeMap<>())
                    .merge(crash.upstream(), crash.observedNanos(), Math::min);
        }
    }

    /** Decides anew which parts are in quarantine. */
    private void update(long nowNanos) {
        Map<String, Suspect> suspects = new TreeMap<>();
        crashesByPart.keySet().forEach(part -> {
            Map<String, Long> crashes = crashes(part, nowNanos);
            suspects.put(part, new Suspect(part, lastAnswer(part).isPresent(), positions.get(part), crashes));
        });
        Map<String, Quarantine> updated = new TreeMap<>();
        for (String part : Suspect.findCulprits(suspects.values())) {
            Suspect s = suspects.get(part);
            long endNanos = endNanos(s);
            if (endNanos - nowNanos > 0) {
                updated.put(part, new Quarantine(s.incidents(), s.crashes().size(), endNanos));
            }
        }
        quarantined = updated;
    }

    private static long endNanos(Suspect culprit) {
        long nanos = FIRST_QUARANTINE.toNanos() << Math.min(culprit.excessIncidents(), MAX_DOUBLINGS);
        return culprit.lastCrashNanos() + Math.min(nanos, MAX_QUARANTINE.toNanos());
    }

    /** Returns the times of the crashes in which a part is suspected, by the upstream that crashed. */
    private Map<String, Long> crashes(String part, long nowNanos) {
        Map<String, Long> all = crashesByPart.getOrDefault(part, Map.of());
        Optional<Long> answered = lastAnswer(part);
        Map<String, Long> counted = new TreeMap<>();
        all.forEach((upstream, crashed) -> {
            boolean isCleared = answered.isPresent() && crashed - answered.get() <= 0;
            if (!isCleared && nowNanos - crashed < RETENTION.toNanos()) {
                counted.put(upstream, crashed);
            }
        });
        return counted;
    }

    private Optional<Long> lastAnswer(String part) {
        Optional<Long> own = Optional.ofNullable(ownAnswers.get(part));
        Optional<Long> other = Optional.ofNullable(reportedAnswers.get(part));
        return own.isPresent() && other.isPresent()
                ? Optional.of(Math.max(own.get(), other.get()))
                : own.or(() -> other);
    }
}
