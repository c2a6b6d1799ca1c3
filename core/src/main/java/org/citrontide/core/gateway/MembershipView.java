package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.citrontide.core.routes.ListedUpstream;

/**
 * One gateway's view of the available upstreams, built from the store's entries and their removals.
 *
 * <p>Invariants: an entry that is removed while the store serves this gateway or a peer is dropped immediately; one
 * that is missing after an outage of the store is kept for a grace period, because entries expire while upstreams can't
 * renew them and each upstream needs time to write its entry again. Not thread-safe.
 */
public final class MembershipView {
    // After an outage of the store, live upstreams write their entries again within this time.
    private static final Duration REREGISTRATION_GRACE = Duration.ofMillis(2200);
    // Entries outlast an interruption of two heartbeats of their upstreams, about 1.2 s each.
    private static final Duration MIN_OUTAGE = Duration.ofSeconds(2);

    private final Map<String, ListedUpstream> current = new HashMap<>();
    private final Map<String, ListedUpstream> expired = new HashMap<>();
    private boolean hasFailed;
    private OptionalLong servedNanos = OptionalLong.empty();
    private OptionalLong graceEndNanos = OptionalLong.empty();

    /** Records that a call to the store has failed. */
    public void recordStoreFailure() {
        hasFailed = true;
    }

    /**
     * Records that the store has served this gateway or a peer.
     *
     * @param nowNanos monotonic time in ns
     * @return how long the store was away, if entries may have expired meanwhile and are kept from now on
     */
    public Optional<Duration> recordStoreServed(long nowNanos) {
        Duration unserved = Duration.ofNanos(nowNanos - servedNanos.orElse(nowNanos));
        boolean isOutageOver = hasFailed && unserved.compareTo(MIN_OUTAGE) >= 0;
        hasFailed = false;
        servedNanos = OptionalLong.of(nowNanos);
        if (!isOutageOver) {
            return Optional.empty();
        }
        graceEndNanos = OptionalLong.of(nowNanos + REREGISTRATION_GRACE.toNanos());
        return Optional.of(unserved);
    }

    /**
     * Replaces all entries.
     *
     * @param upstreams all usable entries
     * @param nowNanos monotonic time in ns
     * @return whether each removed entry is kept, by its identity
     */
    public Map<String, Boolean> replaceAll(List<ListedUpstream> upstreams, long nowNanos) {
        Set<String> ids = new HashSet<>();
        upstreams.forEach(u -> ids.add(u.id()));
        Map<String, Boolean> removed = new TreeMap<>();
        for (String id : List.copyOf(current.keySet())) {
            if (!ids.contains(id)) {
                removed.put(id, removeEntry(id, nowNanos));
            }
        }
        upstreams.forEach(this::putEntry);
        return removed;
    }

    /**
     * Adds or replaces an entry.
     *
     * @param upstream the entry
     */
    public void putEntry(ListedUpstream upstream) {
        current.put(upstream.id(), upstream);
        expired.remove(upstream.id());
    }

    /**
     * Removes an entry that was deleted or has become unusable; during the grace period it is kept as expired.
     *
     * @param id identity of the upstream
     * @param nowNanos monotonic time in ns
     * @return whether the entry is kept
     */
    public boolean removeEntry(String id, long nowNanos) {
        ListedUpstream u = current.remove(id);
        boolean isKept = u != null && !u.isDraining() && isInGracePeriod(nowNanos);
        if (isKept) {
            expired.put(id, u);
        }
        return isKept;
    }

    /**
     * Drops the expired entries once the grace period has ended.
     *
     * @param nowNanos monotonic time in ns
     * @return identities of the upstreams that are no longer listed
     */
    public Set<String> expire(long nowNanos) {
        if (isInGracePeriod(nowNanos)) {
            return Set.of();
        }
        Set<String> dropped = Set.copyOf(expired.keySet());
        expired.clear();
        return dropped;
    }

    /**
     * Returns the upstreams considered available.
     *
     * @return entries in no particular order
     */
    public List<ListedUpstream> upstreams() {
        List<ListedUpstream> all = new ArrayList<>(current.values());
        all.addAll(expired.values());
        return all;
    }

    private boolean isInGracePeriod(long nowNanos) {
        return graceEndNanos.isPresent() && nowNanos - graceEndNanos.getAsLong() < 0;
    }
}
