package org.citrontide.runtime.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the team names used as metric labels. Safe for use by many threads.
 *
 * <p>Invariant: at most the set number of names are given out, and {@value #OTHER} for all others.
 */
public final class TeamNames {
    /** Label of the teams above the bound. */
    public static final String OTHER = "other";

    private final int most;
    private final Set<String> known = ConcurrentHashMap.newKeySet();

    /**
     * Makes an empty set.
     *
     * @param most number of names given out
     */
    public TeamNames(int most) {
        this.most = most;
    }

    /**
     * Returns the label of a team.
     *
     * @param team name of the team
     * @return the name itself or {@value #OTHER}
     */
    public String label(String team) {
        if (known.contains(team)) {
            return team;
        }
        if (known.size() >= most) {
            return OTHER;
        }
        known.add(team);
        return team;
    }
}
