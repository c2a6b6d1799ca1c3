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
 * Chooses the upstreams that one entry keeps links to, because links to all would cost more than control may.
 *
 * <p>Each service gets an equal part of the links, and at least {@value #LEAST_PER_SERVICE}. Upstreams of the own zone
 * get three quarters of a service's part. Within a zone the highest rendezvous hashes of entry and upstream are taken,
 * so that a change of the list changes few links and upstreams get about equally many. Immutable.
 */
public final class UpstreamSubset {
    private static final int LEAST_PER_SERVICE = 4;
    private static final int OWN_ZONE_NUMERATOR = 3;
    private static final int OWN_ZONE_DENOMINATOR = 4;

    private final String vm;
    private final String zone;
    private final int maxLinks;

    /**
     * Makes a chooser.
     *
     * @param vm name of the entry's VM
     * @param zone the entry's availability zone
     * @param maxLinks links wanted in all
     */
    public UpstreamSubset(String vm, String zone, int maxLinks) {
        this.vm = vm;
        this.zone = zone;
        this.maxLinks = maxLinks;
    }

    /**
     * Chooses among all upstreams.
     *
     * @param all the platform's list
     * @return the lines of those to keep links to
     */
    public List<ListedVm> choose(Collection<ListedVm> all) {
        Map<String, List<ListedVm>> byService = new TreeMap<>();
        all.forEach(v ->
                byService.computeIfAbsent(v.service(), s -> new ArrayList<>()).add(v));
        int perService = Math.max(LEAST_PER_SERVICE, maxLinks / Math.max(1, byService.size()));
        List<ListedVm> chosen = new ArrayList<>();
        byService.values().forEach(list -> chosen.addAll(chooseOf(list, perService)));
        return chosen;
    }

    private List<ListedVm> chooseOf(List<ListedVm> list, int most) {
        List<ListedVm> own = new ArrayList<>();
        List<ListedVm> others = new ArrayList<>();
        list.forEach(v -> (v.zone().equals(zone) ? own : others).add(v));
        int forOthers = Math.min(others.size(), most - most * OWN_ZONE_NUMERATOR / OWN_ZONE_DENOMINATOR);
        int forOwn = Math.min(own.size(), most - forOthers);
        List<ListedVm> chosen = new ArrayList<>(highest(own, forOwn));
        chosen.addAll(highest(others, most - forOwn));
        return chosen;
    }

    private List<ListedVm> highest(List<ListedVm> list, int most) {
        return list.stream()
                .sorted(Comparator.comparingLong(this::score).reversed())
                .limit(most)
                .toList();
    }

    private long score(ListedVm v) {
        return MurmurHash3.hash128x64((vm + "#" + v.id()).getBytes(StandardCharsets.UTF_8))[0];
    }
}
