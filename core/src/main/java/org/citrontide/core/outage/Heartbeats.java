package org.citrontide.core.outage;

import java.util.Map;
import java.util.Set;

/**
 * The heartbeats of upstreams that the store took between two reads of it. Immutable.
 *
 * @param countByUpstream number of heartbeats, also 0, of each upstream that was listed at both reads
 * @param written identities of all upstreams that wrote their entries, also of those listed since
 */
public record Heartbeats(Map<String, Long> countByUpstream, Set<String> written) {
    /** Says nothing of any upstream. */
    public static final Heartbeats UNKNOWN = new Heartbeats(Map.of(), Set.of());

    /** Copies the collections. */
    public Heartbeats {
        countByUpstream = Map.copyOf(countByUpstream);
        written = Set.copyOf(written);
    }
}
