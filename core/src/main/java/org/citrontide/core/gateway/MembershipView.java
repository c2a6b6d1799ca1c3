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

import org.citrontide.core.outage.Heartbeats;
import org.citrontide.core.outage.StoreOutageDetector;
import org.citrontide.core.routes.ListedUpstream;

/**
 * One gateway's view of the available upstreams, built from the store's entries and their removals.
 *
 * <p>Invariants: an entry that is removed while the store takes heartbeats is dropped immediately; one that is missing
 * after an outage of the store is kept for a grace period, because entries expire while upstreams can't renew them and
 * each upstream needs time to write its entry again; one that was written since the outage can't have expired in it,
 * and its removal takes effect at once. Not thread-safe.
 */
public final class MembershipView {
    // After an outage of the store, live upstreams write their entries again within this time.
    private static final Duration REREGISTRATION_GRACE = Duration.ofMillis(2200);

    private final Map<String, ListedUpstream> current = new HashMap<>();
    private final Map<String, ListedUpstream> expired = new HashMap<>();
    private final Set<String> writtenSinceOutage = new HashSet<>();
    private final StoreOutageDetector outageDetector = new StoreOutageDetector();
    private OptionalLong graceEndNanos = OptionalLong.empty();

    /**
     * A time in which removed entries are kept, because the store was away before it. Immutable.
     *
     * @param unserved how long this gateway knew of no service of the store
     * @param endNanos monotonic time in ns at which it ends
     */
    public record GracePeriod(Duration unserved, long endNanos) {}

    /**
     * Records that a call to the store got no answer, on a connection that may have fallen silent.
     *
     * @param nowNanos monotonic time in ns
     */
    public void recordUnansweredCall(long nowNanos) {
        outageDetector.recordUnansweredCall(nowNanos);
    }

    /**
     * Records that the store refused a call, or that it could not be reached on a new connection.
     *
     * @param nowNanos monotonic time in ns
     */
    public void recordStoreFailure(long nowNanos) {
        outageDetector.recordFailedCall(nowNanos);
    }

    /**
     * Records that the store has served this gateway or a peer. To be called before the changes of the same read.
     *
     * @param heartbeats heartbeats that the store has taken since the read before
     * @param nowNanos monotonic time in ns
     * @return the grace period that begins, if there was an outage in which entries may have expired
     */
    public Optional<GracePeriod> recordStoreServed(Heartbeats heartbeats, long nowNanos) {
        Optional<GracePeriod> begun = outageDetector
                .recordServed(heartbeats, nowNanos)
                .map(unserved -> new GracePeriod(unserved, nowNanos + REREGISTRATION_GRACE.toNanos()));
        if (begun.isPresent()) {
            graceEndNanos = OptionalLong.of(begun.get().endNanos());
            // The read may also show entries that were written before the outage.
            writtenSinceOutage.clear();
        } else if (isInGracePeriod(nowNanos)) {
            writtenSinceOutage.addAll(heartbeats.written());
        }
        return begun;
    }

    /**
     * Records that the store has returned from an older copy of itself, which lacks the entries written since. To be
     * called before the entries of the copy.
     *
     * @param nowNanos monotonic time in ns at which it served again
     * @return the grace period that begins
     */
    public GracePeriod recordStoreReturn(long nowNanos) {
        long endNanos = nowNanos + REREGISTRATION_GRACE.toNanos();
        graceEndNanos = OptionalLong.of(endNanos);
        writtenSinceOutage.clear();
        return new GracePeriod(Duration.ZERO, endNanos);
    }

    /**
     * Replaces all entries.
     *
     * @param upstreams all usable entries
     * @param nowNanos monotonic time in ns at which the store served them
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
     * @param nowNanos monotonic time in ns at which the store served the removal
     * @return whether the entry is kept
     */
    public boolean removeEntry(String id, long nowNanos) {
        ListedUpstream u = current.remove(id);
        boolean isKept = u != null && !u.isDraining() && isInGracePeriod(nowNanos) && !writtenSinceOutage.contains(id);
        if (isKept) {
            expired.put(id, u);
        }
        return isKept;
    }

    /**
     * Drops the expired entries once the store has served after the end of the grace period.
     *
     * @param nowNanos monotonic time in ns at which the store served last
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
     * Returns whether an upstream has an entry, which is not one that is kept only for the grace period.
     *
     * @param id identity of the upstream
     * @return whether its entry was read and not removed since
     */
    public boolean isListed(String id) {
        return current.containsKey(id);
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
