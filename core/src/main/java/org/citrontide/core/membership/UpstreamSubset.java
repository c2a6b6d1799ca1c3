package org.citrontide.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Selects the subset of upstreams that one entry keeps links to, because links to all of them would cost more
 * than is allowed for control traffic.
 *
 * <p>Each service gets an equal share of the links, and at least {@value #MIN_LINKS_PER_SERVICE}. Three quarters of the
 * links of a service go to upstreams in the entry's own zone. Within a zone, the upstreams with the highest
 * rendezvous hashes of entry and upstream are selected, so that a change of the list changes few links and all
 * upstreams get about the same number of links. Immutable.
 */
public final class UpstreamSubset {
    private static final int MIN_LINKS_PER_SERVICE = 4;
    private static final int OWN_ZONE_NUMERATOR = 3;
    private static final int OWN_ZONE_DENOMINATOR = 4;

    private final String vm;
    private final String zone;
    private final int maxLinks;

    /**
     * Creates a selection for one entry.
     *
     * @param vm name of the entry's VM
     * @param zone the entry's availability zone
     * @param maxLinks target number of links over all services
     */
    public UpstreamSubset(String vm, String zone, int maxLinks) {
        this.vm = vm;
        this.zone = zone;
        this.maxLinks = maxLinks;
    }

    /**
     * Selects the upstreams to keep links to.
     *
     * @param all the platform's list of upstreams
     * @return the selected upstreams
     */
    public List<ListedVm> choose(Collection<ListedVm> all) {
        Map<String, List<ListedVm>> byService = new TreeMap<>();
        all.forEach(v ->
                byService.computeIfAbsent(v.service(), s -> new ArrayList<>()).add(v));
        int perService = Math.max(MIN_LINKS_PER_SERVICE, maxLinks / Math.max(1, byService.size()));
        List<ListedVm> chosen = new ArrayList<>();
        byService.values().forEach(list -> chosen.addAll(chooseForService(list, perService)));
        return chosen;
    }

    private List<ListedVm> chooseForService(List<ListedVm> list, int maxCount) {
        List<ListedVm> own = new ArrayList<>();
        List<ListedVm> others = new ArrayList<>();
        list.forEach(v -> (v.zone().equals(zone) ? own : others).add(v));
        int otherCount = Math.min(others.size(), maxCount - maxCount * OWN_ZONE_NUMERATOR / OWN_ZONE_DENOMINATOR);
        int ownCount = Math.min(own.size(), maxCount - otherCount);
        List<ListedVm> chosen = new ArrayList<>(highestScored(own, ownCount));
        chosen.addAll(highestScored(others, maxCount - ownCount));
        return chosen;
    }

    private List<ListedVm> highestScored(List<ListedVm> list, int maxCount) {
        return list.stream()
                .sorted(Comparator.comparingLong(this::score).reversed())
                .limit(maxCount)
                .toList();
    }

    private long score(ListedVm v) {
        return MurmurHash3.hash128x64((vm + "#" + v.id()).getBytes(StandardCharsets.UTF_8))[0];
    }
}
