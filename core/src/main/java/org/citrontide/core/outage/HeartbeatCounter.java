package org.citrontide.core.outage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the heartbeats of upstreams from one read of the store to the next.
 *
 * <p>Invariants: an entry that is read again unchanged counts as no heartbeat; a read that skips writes counts them by
 * the sequence numbers in the entries; an entry that is read for the first time has an unknown number of heartbeats.
 * Not thread-safe.
 */
public final class HeartbeatCounter {
    // Two minutes of heartbeats; a larger step is not the upstream's own.
    private static final long MAX_STEP = 100;

    private record Written(long revision, long sequence) {}

    private final Map<String, Written> lastWrites = new HashMap<>();
    private final Map<String, Long> counts = new HashMap<>();
    private final Set<String> written = new HashSet<>();

    /**
     * Records an entry that was read.
     *
     * @param id identity of the upstream
     * @param revision revision of the entry
     * @param sequence number that the upstream increments with each heartbeat; starts anew when it restarts
     */
    public void recordEntry(String id, long revision, long sequence) {
        Written previous = lastWrites.get(id);
        if (previous != null && previous.revision() == revision) {
            return;
        }
        lastWrites.put(id, new Written(revision, sequence));
        written.add(id);
        if (previous != null) {
            long step = sequence - previous.sequence();
            counts.merge(id, step < 1 || step > MAX_STEP ? 1 : step, Long::sum);
        }
    }

    /**
     * Records that an entry was removed.
     *
     * @param id identity of the upstream
     */
    public void recordRemoval(String id) {
        lastWrites.remove(id);
        counts.remove(id);
        written.remove(id);
    }

    /**
     * Records the removal of all entries but the given ones.
     *
     * @param ids identities of the upstreams that are still listed
     */
    public void retain(Set<String> ids) {
        lastWrites.keySet().retainAll(ids);
        counts.keySet().retainAll(ids);
        written.retainAll(ids);
    }

    /**
     * Returns the heartbeats since the last call, and starts anew.
     *
     * @return the heartbeats
     */
    public Heartbeats take() {
        Map<String, Long> known = new HashMap<>(counts);
        lastWrites.keySet().stream().filter(id -> !written.contains(id)).forEach(id -> known.put(id, 0L));
        Heartbeats h = new Heartbeats(known, written);
        counts.clear();
        written.clear();
        return h;
    }
}
