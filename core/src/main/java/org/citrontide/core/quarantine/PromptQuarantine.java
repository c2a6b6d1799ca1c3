package org.citrontide.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides which parts of prompts are not sent to upstreams because they crash them.
 *
 * <p>Handles requests that share one part, arrive at all gateways, and crash each upstream that begins to answer them,
 * among many requests that share their other parts, and beside crashes that have other causes. A part is suspected in
 * each crash of an upstream that had not begun to answer a prompt with it. It is quarantined once it was suspected in
 * several incidents since an upstream last answered a prompt with it, unless another part explains these crashes.
 *
 * <p>Invariants: an answer clears a part of all earlier crashes, wherever they were observed; another incident never
 * shortens a quarantine. Not thread-safe. Reads no clock.
 */
public final class PromptQuarantine {
    // One crash can have any cause, and its requests deserve another attempt.
    private static final int INCIDENT_LIMIT = 2;
    // A part that upstreams have answered before is more likely to be a bystander.
    private static final int ANSWERED_INCIDENT_LIMIT = 3;
    private static final Duration FIRST_QUARANTINE = Duration.ofMinutes(10);
    private static final int MAX_DOUBLINGS = 3;
    private static final Duration MAX_QUARANTINE = Duration.ofHours(1);

    /** Time for which a crash counts: that of all the incidents that lead to the longest quarantine. */
    public static final Duration RETENTION = MAX_QUARANTINE.multipliedBy(ANSWERED_INCIDENT_LIMIT + MAX_DOUBLINGS);

    // The crash of a rack or a network partition affects many upstreams within this time and counts once.
    private static final long INCIDENT_NANOS = Duration.ofMillis(500).toNanos();
    // Bounds the memory for the parts seen; those in use stay.
    private static final int MAX_PARTS = 8192;

    private final Map<String, Usage> usageByPart = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Usage> eldest) {
            return size() > MAX_PARTS;
        }
    };
    private final Map<String, Long> reportedAnswers = new HashMap<>();
    private final Map<String, Map<String, Long>> crashesByPart = new HashMap<>();
    private Set<List<String>> crashedPrompts = Set.of();
    private Map<String, Decision> quarantined = Map.of();

    /** What this gateway has seen of one part. */
    private static final class Usage {
        private long requests;
        private Optional<Long> answeredNanos = Optional.empty();
    }

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
     * Records the arrival of a request.
     *
     * @param parts shared parts of its prompt
     */
    public void recordRequest(List<String> parts) {
        parts.forEach(p -> usageByPart.computeIfAbsent(p, k -> new Usage()).requests++);
    }

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
            usageByPart.computeIfAbsent(p, k -> new Usage()).answeredNanos = Optional.of(nowNanos);
        }
        return cleared;
    }

    /**
     * Replaces the evidence of all gateways, including this one.
     *
     * @param evidence all observations in any order
     */
    public void replaceEvidence(Collection<CrashEvidence> evidence) {
        crashesByPart.clear();
        reportedAnswers.clear();
        Set<List<String>> prompts = new HashSet<>();
        for (CrashEvidence e : evidence) {
            switch (e) {
                case CrashEvidence.Crash c -> {
                    prompts.addAll(c.prompts());
                    c.prompts().stream().flatMap(List::stream).forEach(part -> addCrash(part, c));
                }
                case CrashEvidence.Answer a -> reportedAnswers.merge(a.part(), a.observedNanos(), Math::max);
            }
        }
        crashedPrompts = prompts;
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
        if (crashesByPart.isEmpty()) {
            return Optional.empty();
        }
        return parts.stream()
                .map(p -> endNanos(p, nowNanos) - nowNanos)
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
        Map<String, Decision> now = new TreeMap<>();
        for (String p : crashesByPart.keySet()) {
            if (endNanos(p, nowNanos) > nowNanos) {
                Collection<Long> crashes = crashes(p, nowNanos).values();
                now.put(p, new Decision(p, true, countIncidents(crashes), crashes.size()));
            }
        }
        List<Decision> changes = new ArrayList<>();
        now.values().stream().filter(d -> !quarantined.containsKey(d.part())).forEach(changes::add);
        quarantined.values().stream()
                .filter(d -> !now.containsKey(d.part()))
                .forEach(d -> changes.add(new Decision(d.part(), false, d.incidents(), d.upstreams())));
        quarantined = now;
        return changes;
    }

    private void addCrash(String part, CrashEvidence.Crash crash) {
        crashesByPart
                .computeIfAbsent(part, k -> new TreeMap<>())
                .merge(crash.upstream(), crash.observedNanos(), Math::min);
    }

    /** Returns the end of the quarantine of a part, a time in the past if it is in none. */
    private long endNanos(String part, long nowNanos) {
        Map<String, Long> crashes = crashes(part, nowNanos);
        int excess = countIncidents(crashes.values()) - incidentLimit(part);
        if (excess < 0 || isExplained(part, crashes.keySet(), nowNanos)) {
            return nowNanos;
        }
        long last = crashes.values().stream().max(Long::compare).orElseThrow();
        long nanos = FIRST_QUARANTINE.toNanos() << Math.min(excess, MAX_DOUBLINGS);
        return last + Math.min(nanos, MAX_QUARANTINE.toNanos());
    }

    private int incidentLimit(String part) {
        return lastAnswer(part).isPresent() ? ANSWERED_INCIDENT_LIMIT : INCIDENT_LIMIT;
    }

    /** Returns the times of the crashes in which a part is suspected, by the upstream that crashed. */
    private Map<String, Long> crashes(String part, long nowNanos) {
        Map<String, Long> all = crashesByPart.getOrDefault(part, Map.of());
        if (all.isEmpty()) {
            return all;
        }
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
        Optional<Long> own = Optional.ofNullable(usageByPart.get(part)).flatMap(u -> u.answeredNanos);
        Optional<Long> reported = Optional.ofNullable(reportedAnswers.get(part));
        return own.isPresent() && reported.isPresent()
                ? Optional.of(Math.max(own.get(), reported.get()))
                : own.or(() -> reported);
    }

    private static int countIncidents(Collection<Long> crashedNanos) {
        int incidents = 0;
        long startNanos = 0;
        for (long t : crashedNanos.stream().sorted().toList()) {
            if (incidents == 0 || t - startNanos >= INCIDENT_NANOS) {
                incidents++;
                startNanos = t;
            }
        }
        return incidents;
    }

    /**
     * Returns whether another part explains the crashes in which a part is suspected: it is suspected in all of them
     * and in others, or it is the less common one of two parts that were always requested together.
     */
    private boolean isExplained(String part, Set<String> upstreams, long nowNanos) {
        return crashesByPart.keySet().stream()
                .filter(other -> !other.equals(part))
                .anyMatch(other -> isExplainedBy(part, upstreams, other, nowNanos));
    }

    private boolean isExplainedBy(String part, Set<String> upstreams, String other, long nowNanos) {
        Map<String, Long> crashes = crashes(other, nowNanos);
        if (!crashes.keySet().containsAll(upstreams) || countIncidents(crashes.values()) < incidentLimit(other)) {
            return false;
        }
        if (crashes.size() > upstreams.size()) {
            return true;
        }
        boolean isAlwaysTogether = crashedPrompts.stream().allMatch(p -> p.contains(part) == p.contains(other));
        return isAlwaysTogether && requests(other) < requests(part);
    }

    private long requests(String part) {
        return Optional.ofNullable(usageByPart.get(part)).map(u -> u.requests).orElse(0L);
    }
}
