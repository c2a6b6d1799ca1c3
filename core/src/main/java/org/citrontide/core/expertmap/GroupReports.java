package org.citrontide.core.expertmap;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** One round of reports from the upstreams of one group of ranks. Not thread-safe. */
final class GroupReports {
    private final Map<String, RankReport> byUpstream = new HashMap<>();

    void clear() {
        byUpstream.clear();
    }

    void add(String upstream, RankReport report) {
        byUpstream.put(upstream, report);
    }

    /** Returns the upstreams in rank order if the group is open and all of its ranks have reported. */
    Optional<List<String>> completeGroup() {
        return Optional.of(List.copyOf(byUpstream.keySet()))
                .filter(this::isComplete)
                .map(this::inRankOrder);
    }

    RankReport of(String upstream) {
        return byUpstream.get(upstream);
    }

    /** Returns the map versions in force on the given ranks. */
    Set<Long> versionsInForce(List<String> ranks) {
        Set<Long> versions = new HashSet<>();
        ranks.forEach(id -> versions.add(of(id).mapVersion()));
        return versions;
    }

    /** Returns the version that is prepared or armed on all the given ranks, if it is the same on each. */
    Optional<Long> preparedOnAll(List<String> ranks) {
        Set<Long> versions = new HashSet<>();
        for (String id : ranks) {
            OptionalLong v = of(id).armed().isPresent() ? of(id).armed() : of(id).prepared();
            versions.add(v.orElse(-1));
        }
        long only = versions.iterator().next();
        return versions.size() == 1 && only > 0 ? Optional.of(only) : Optional.empty();
    }

    List<String> armedRanks(List<String> ranks) {
        return ranks.stream().filter(id -> of(id).armed().isPresent()).toList();
    }

    /** Returns whether a rank is armed, or may be because every rank has a map prepared. */
    boolean mayBeArmed(List<String> ranks) {
        return !armedRanks(ranks).isEmpty() || preparedOnAll(ranks).isPresent();
    }

    List<String> holdingRanks(List<String> ranks) {
        return ranks.stream().filter(id -> of(id).heldStep().isPresent()).toList();
    }

    /** Returns the ranks that hold no pass, so that they can be ordered to. */
    List<String> freeRanks(List<String> ranks) {
        return ranks.stream().filter(id -> of(id).heldStep().isEmpty()).toList();
    }

    private boolean isComplete(List<String> ids) {
        if (ids.isEmpty()) {
            return false;
        }
        RankReport first = of(ids.getFirst());
        Set<Integer> numbers = new HashSet<>();
        for (String id : ids) {
            RankReport r = of(id);
            if (r.isOpen() && r.epoch() == first.epoch() && r.rank() < first.size()) {
                numbers.add(r.rank());
            }
        }
        return numbers.size() == first.size() && ids.size() == first.size();
    }

    private List<String> inRankOrder(List<String> ids) {
        String[] ranks = new String[ids.size()];
        ids.forEach(id -> ranks[of(id).rank()] = id);
        return List.of(ranks);
    }
}
