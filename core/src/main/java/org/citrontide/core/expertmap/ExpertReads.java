package org.citrontide.core.expertmap;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Collects the experts that each rank of a group reports, until the map in force is known. Not thread-safe. */
final class ExpertReads {
    private final int expertsPerSet;
    private final Map<Integer, int[][]> expertsByRank = new TreeMap<>();

    ExpertReads(int expertsPerSet) {
        this.expertsPerSet = expertsPerSet;
    }

    /** Requests the experts of all ranks and discards earlier ones. */
    void request(List<String> ranks, EventContext context) {
        expertsByRank.clear();
        ranks.forEach(id -> context.add(new MapAction.ReadExperts(id)));
    }

    /** Adds the experts of a rank; returns the map once those of all ranks are known. */
    Optional<GroupMap> add(int rank, int[][] experts, long version, int ranks) {
        expertsByRank.put(rank, experts);
        return expertsByRank.size() < ranks
                ? Optional.empty()
                : Optional.of(GroupMap.fromRanks(version, List.copyOf(expertsByRank.values()), expertsPerSet));
    }
}
