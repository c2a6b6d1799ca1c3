package org.citrontide.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * A part of prompts that was in flight without an answer when upstreams crashed. Immutable.
 *
 * @param part identifier of the part
 * @param wasAnswered whether an upstream answered a prompt with the part before these crashes
 * @param position index of the part in the prompt in which it came first
 * @param crashes monotonic time in ns of each crash since then, by the upstream that crashed
 */
record Suspect(String part, boolean wasAnswered, int position, Map<String, Long> crashes) {
    // One crash can have any cause, and its requests deserve another attempt.
    private static final int INCIDENT_LIMIT = 2;
    // A part that upstreams have answered before is more likely to be a bystander.
    private static final int ANSWERED_INCIDENT_LIMIT = 3;
    // The crash of a rack or a network partition affects many upstreams within this time and counts once.
    private static final long INCIDENT_NANOS = Duration.ofMillis(500).toNanos();

    // Prompts have their beginnings in common, so a part further back is shared by fewer of them.
    private static final Comparator<Suspect> BY_SUSPICION = Comparator.comparing((Suspect s) -> !s.wasAnswered)
            .thenComparing(Suspect::incidents)
            .thenComparing(Suspect::position);

    /** Copies the times. */
    Suspect {
        crashes = Map.copyOf(crashes);
    }

    /**
     * Finds the parts that explain crashes: the most suspicious one, then the most suspicious one in the crashes that
     * the first doesn't explain, and so on. Of parts that are equally suspicious, each is found.
     */
    static Set<String> findCulprits(Collection<Suspect> suspects) {
        Set<String> culprits = new TreeSet<>();
        List<Suspect> open =
                suspects.stream().filter(s -> s.excessIncidents() >= 0).toList();
        while (!open.isEmpty()) {
            Suspect first = open.stream().max(BY_SUSPICION).orElseThrow();
            List<Suspect> alike = open.stream()
                    .filter(s -> BY_SUSPICION.compare(s, first) == 0)
                    .toList();
            alike.forEach(s -> culprits.add(s.part));
            Set<String> explained =
                    alike.stream().flatMap(s -> s.crashes.keySet().stream()).collect(Collectors.toSet());
            open = open.stream()
                    .map(s -> s.without(explained))
                    .filter(s -> s.excessIncidents() >= 0)
                    .toList();
        }
        return culprits;
    }

    int incidents() {
        int incidents = 0;
        long startNanos = 0;
        for (long t : crashes.values().stream().sorted().toList()) {
            if (incidents == 0 || t - startNanos >= INCIDENT_NANOS) {
                incidents++;
                startNanos = t;
            }
        }
        return incidents;
    }

    /** Returns the number of incidents beyond those that lead to a quarantine, negative if there are too few. */
    int excessIncidents() {
        return incidents() - (wasAnswered ? ANSWERED_INCIDENT_LIMIT : INCIDENT_LIMIT);
    }

    /** Returns the time of the last crash in ns. */
    long lastCrashNanos() {
        return crashes.values().stream().max(Long::compare).orElseThrow();
    }

    private Suspect without(Set<String> upstreams) {
        Map<String, Long> rest = new TreeMap<>(crashes);
        rest.keySet().removeAll(upstreams);
        return new Suspect(part, wasAnswered, position, rest);
    }
}
