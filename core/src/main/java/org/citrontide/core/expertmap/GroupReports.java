package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** A round of reports of the upstreams of a service, and what it says of a group. Not thread-safe. */
final class GroupReports {
    private final Map<String, RankReport> byUpstream = new HashMap<>();

    void clear() {
        byUpstream.clear();
    }

    void add(String upstream, RankReport report) {
        byUpstream.put(upstream, report);
    }

    /** Returns the upstreams of the first group of which every rank is there and works, in the order of the ranks. */
    Optional<List<String>> wholeGroup() {
        Map<String, List<String>> groups = new TreeMap<>();
        byUpstream.forEach((id, r) ->
                groups.computeIfAbsent(r.group(), g -> new ArrayList<>()).add(id));
        return groups.values().stream().filter(this::isWhole).findFirst().map(this::inOrder);
    }

    RankReport of(String upstream) {
        return byUpstream.get(upstream);
    }

    /** Returns the versions in force on the given ranks. */
    Set<Long> versionsInForce(List<String> ranks) {
        Set<Long> versions = new HashSet<>();
        ranks.forEach(id -> versions.add(of(id).mapVersion()));
        return versions;
    }

    /** Returns the map that is prepared or armed on every one of the given ranks. */
    Optional<Long> preparedOnAll(List<String> ranks) {
        Set<Long> versions = new HashSet<>();
        for (String id : ranks) {
            OptionalLong v = of(id).armed().isPresent() ? of(id).armed() : of(id).prepared();
            versions.add(v.orElse(-1));
        }
        long only = versions.iterator().next();
        return versions.size() == 1 && only > 0 ? Optional.of(only) : Optional.empty();
    }

    List<String> armed(List<String> ranks) {
        return ranks.stream().filter(id -> of(id).armed().isPresent()).toList();
    }

    List<String> holding(List<String> ranks) {
        return ranks.stream().filter(id -> of(id).heldStep().isPresent()).toList();
    }

    private boolean isWhole(List<String> ids) {
        RankReport first = of(ids.getFirst());
        Set<Integer> numbers = new HashSet<>();
        for (String id : ids) {
            RankReport r = of(id);
            if (r.open() && r.epoch() == first.epoch() && r.rank() < first.size()) {
                numbers.add(r.rank());
            }
        }
        return numbers.size() == first.size() && ids.size() == first.size();
    }

    private List<String> inOrder(List<String> ids) {
        String[] ranks = new String[ids.size()];
        ids.forEach(id -> ranks[of(id).rank()] = id);
        return List.of(ranks);
    }
}
