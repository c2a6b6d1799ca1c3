package org.citrontide.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which shared evidence is removed from the store.
 *
 * <p>Handles upstreams that crash again and again for other reasons than their prompts, so that the evidence against a
 * part outlasts that on bystanders. Stateless.
 */
public final class EvidenceRetention {
    /** Number of observations above which those that no longer matter are removed. */
    public static final int MAX_COUNT = 400;

    private EvidenceRetention() {}

    /**
     * Returns the keys of the evidence to remove: all that has expired, and beyond the maximum first the crashes whose
     * parts have all been answered since, then the oldest.
     *
     * @param evidence all evidence by its key
     * @param nowNanos monotonic time in ns
     * @return keys, those to remove first at the start
     */
    public static List<String> findRemovable(Map<String, CrashEvidence> evidence, long nowNanos) {
        List<String> byAge = new ArrayList<>(evidence.keySet());
        byAge.sort(Comparator.comparingLong(k -> evidence.get(k).observedNanos() - nowNanos));
        Set<String> removable = new LinkedHashSet<>();
        byAge.stream()
                .filter(k -> nowNanos - evidence.get(k).observedNanos() >= PromptQuarantine.RETENTION.toNanos())
                .forEach(removable::add);
        int excess = evidence.size() - MAX_COUNT;
        Map<String, Long> answers = new HashMap<>();
        evidence.values().forEach(e -> {
            if (e instanceof CrashEvidence.Answer a) {
                answers.merge(a.part(), a.observedNanos(), Math::max);
            }
        });
        byAge.stream()
                .filter(k -> isCleared(evidence.get(k), answers))
                .limit(Math.max(0, excess))
                .forEach(removable::add);
        byAge.stream().limit(Math.max(0, excess - removable.size())).forEach(removable::add);
        return List.copyOf(removable);
    }

    private static boolean isCleared(CrashEvidence evidence, Map<String, Long> answers) {
        return evidence instanceof CrashEvidence.Crash crash
                && crash.prompts().stream()
                        .flatMap(List::stream)
                        .allMatch(p -> answers.containsKey(p) && answers.get(p) - crash.observedNanos() >= 0);
    }
}
