package org.citrontide.core.queue;

import java.util.EnumMap;
import java.util.Map;

import org.citrontide.core.publication.ClassRule;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;

/**
 * The bounds and shares of one sidecar's queue. Immutable.
 *
 * @param capacity most requests that wait
 * @param guaranteedPercent share of the upstream that each class keeps during floods of others, in percent
 * @param teamWeights weights of teams other than 1
 */
public record QueueShares(int capacity, Map<Urgency, Integer> guaranteedPercent, Map<String, Integer> teamWeights) {

    /** Copies the maps. */
    public QueueShares {
        guaranteedPercent = Map.copyOf(guaranteedPercent);
        teamWeights = Map.copyOf(teamWeights);
    }

    /**
     * Takes the shares from a service's file.
     *
     * @param file the service's file
     * @return its queue bounds
     */
    public static QueueShares of(ServiceFile file) {
        Map<Urgency, Integer> percent = new EnumMap<>(Urgency.class);
        for (Map.Entry<Urgency, ClassRule> e : file.classes().entrySet()) {
            percent.put(e.getKey(), e.getValue().guaranteedPercent());
        }
        return new QueueShares(file.limits().queueLength(), percent, file.teamWeights());
    }

    int weight(String team) {
        return teamWeights.getOrDefault(team, 1);
    }

    int percent(Urgency urgency) {
        return guaranteedPercent.getOrDefault(urgency, 0);
    }

    int reservedPlaces(Urgency urgency) {
        return capacity * percent(urgency) / 100;
    }
}
