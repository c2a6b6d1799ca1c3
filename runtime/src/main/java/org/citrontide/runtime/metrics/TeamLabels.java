package org.citrontide.runtime.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits the cardinality of the team label of metrics. Thread-safe.
 *
 * <p>Invariant: at most {@code maxLabels} team names are used as labels; all other teams share {@value #OTHER}.
 */
public final class TeamLabels {
    /** Label shared by the teams above the limit. */
    public static final String OTHER = "other";

    private final int maxLabels;
    private final Set<String> known = ConcurrentHashMap.newKeySet();

    /**
     * Creates a label set without any teams.
     *
     * @param maxLabels maximum number of team names used as labels
     */
    public TeamLabels(int maxLabels) {
        this.maxLabels = maxLabels;
    }

    /**
     * Returns the metric label of a team. The first teams seen get their own label.
     *
     * @param team the team name
     * @return the team name or {@value #OTHER}
     */
    public String label(String team) {
        if (known.contains(team)) {
            return team;
        }
        if (known.size() >= maxLabels) {
            return OTHER;
        }
        known.add(team);
        return team;
    }
}
