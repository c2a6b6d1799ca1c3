package org.citrontide.core.queue;

import java.util.EnumMap;
import java.util.Map;

import org.citrontide.core.publication.ClassRule;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;

/**
 * The capacity and the guaranteed shares of a sidecar's queue. Immutable.
 *
 * @param capacity maximum number of waiting requests
 * @param guaranteedPercent share of the upstream that each class keeps while other classes overload it, in
 *     percent
 * @param teamWeights weights of the teams whose weight is not 1
 */
public record QueueShares(int capacity, Map<Urgency, Integer> guaranteedPercent, Map<String, Integer> teamWeights) {

    /** Makes defensive copies of the maps. */
    public QueueShares {
        guaranteedPercent = Map.copyOf(guaranteedPercent);
        teamWeights = Map.copyOf(teamWeights);
    }

    /**
     * Creates the shares that the configuration file of a service defines.
     *
     * @param file configuration file of the service
     * @return capacity and shares of its queue
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

    int reservedCapacity(Urgency urgency) {
        return capacity * percent(urgency) / 100;
    }
}
