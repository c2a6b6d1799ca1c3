package org.citrontide.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the number, distribution and stability of links in a deployment of the size of one zone. */
final class UpstreamSubsetTest {
    private static final int ENTRIES = 96;
    private static final int UPSTREAMS = 480;
    private static final int SERVICES = 16;
    private static final int MAX_LINKS = 64;

    @Test
    void smallDeploymentIsLinkedCompletely() {
        List<ListedVm> list = list(16, 1);
        assertEquals(
                16, new UpstreamSubset("entry", "z", MAX_LINKS).choose(list).size());
    }

    @Test
    void linksAreBoundedAndSpreadInADeploymentOfZoneSize() {
        Map<UpstreamId, Integer> linksOf = new HashMap<>();
        for (int e = 0; e < ENTRIES; e++) {
            List<ListedVm> chosen = new UpstreamSubset("entry" + e, "z", MAX_LINKS).choose(list(UPSTREAMS, SERVICES));
            assertEquals(MAX_LINKS, chosen.size());
            chosen.forEach(v -> linksOf.merge(v.id(), 1, Integer::sum));
        }
        assertEquals(UPSTREAMS, linksOf.size(), "each upstream must have a link from an entry");
        int most = linksOf.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        int mean = ENTRIES * MAX_LINKS / UPSTREAMS;
        assertTrue(most <= 3 * mean, "an upstream has " + most + " links, the mean is " + mean);
    }

    @Test
    void removalOfOneVmChangesOneLink() {
        List<ListedVm> list = list(UPSTREAMS, SERVICES);
        UpstreamSubset subset = new UpstreamSubset("entry", "z", MAX_LINKS);
        Set<ListedVm> before = new HashSet<>(subset.choose(list));
        List<ListedVm> fewer = new ArrayList<>(list);
        fewer.remove(before.iterator().next());
        Set<ListedVm> after = new HashSet<>(subset.choose(fewer));
        after.removeAll(before);
        assertEquals(1, after.size());
    }

    @Test
    void otherZonesGetAQuarterOfTheLinksIfTheOwnZoneHasEnough() {
        List<ListedVm> list = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            list.add(new ListedVm("vm" + i, i < 100 ? "z" : "y", "s", new UpstreamId("10.0.0." + i, 1), false));
        }
        List<ListedVm> chosen = new UpstreamSubset("entry", "z", MAX_LINKS).choose(list);
        assertEquals(48, chosen.stream().filter(v -> v.zone().equals("z")).count());
        assertEquals(16, chosen.stream().filter(v -> v.zone().equals("y")).count());
    }

    private static List<ListedVm> list(int count, int services) {
        List<ListedVm> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(new ListedVm("vm" + i, "z", "s" + i % services, new UpstreamId("10.0." + i, 9000), false));
        }
        return list;
    }
}
