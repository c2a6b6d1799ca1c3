package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citrontide.core.routes.ListedUpstream;

/**
 * The list of upstreams as one gateway believes it, made of the store's entries and of their removals.
 *
 * <p>Invariants: an entry that is removed while the store works is gone at once; one that is missing after the store
 * was away stays until the upstream had time to write it again, since entries lapse while nobody can renew them. Not
 * thread-safe.
 */
public final class MembershipView {
    // Live upstreams have written their entries again by then.
    private static final Duration RETURN_GRACE = Duration.ofMillis(2200);

    private final Map<String, ListedUpstream> present = new HashMap<>();
    private final Map<String, ListedUpstream> lapsed = new HashMap<>();
    private boolean away;
    private long backNanos;
    private boolean wasAway;

    /** Learns that the store does not answer. */
    public void storeAway() {
        away = true;
    }

    /**
     * Learns that the store answers.
     *
     * @param nowNanos monotonic time in ns
     */
    public void storeAnswers(long nowNanos) {
        if (away) {
            away = false;
            wasAway = true;
            backNanos = nowNanos;
        }
    }

    /**
     * Takes the whole list.
     *
     * @param upstreams all entries that can be used
     * @param nowNanos monotonic time in ns
     */
    public void replaceAll(List<ListedUpstream> upstreams, long nowNanos) {
        Set<String> ids = new HashSet<>();
        upstreams.forEach(u -> ids.add(u.id()));
        for (String id : List.copyOf(present.keySet())) {
            if (!ids.contains(id)) {
                removed(id, nowNanos);
            }
        }
        upstreams.forEach(this::written);
    }

    /**
     * Takes a new or changed entry.
     *
     * @param upstream the entry
     */
    public void written(ListedUpstream upstream) {
        present.put(upstream.id(), upstream);
        lapsed.remove(upstream.id());
    }

    /**
     * Takes the removal of an entry, or one that can't be used any more.
     *
     * @param id identity of the upstream
     * @param nowNanos monotonic time in ns
     */
    public void removed(String id, long nowNanos) {
        ListedUpstream u = present.remove(id);
        if (u != null && !u.draining() && isSettling(nowNanos)) {
            lapsed.put(id, u);
        }
    }

    /**
     * Forgets the entries that did not come back.
     *
     * @param nowNanos monotonic time in ns
     * @return true if the list changed
     */
    public boolean expire(long nowNanos) {
        if (lapsed.isEmpty() || isSettling(nowNanos)) {
            return false;
        }
        lapsed.clear();
        return true;
    }

    /**
     * Returns the upstreams that are believed to be there.
     *
     * @return entries in no order
     */
    public List<ListedUpstream> upstreams() {
        List<ListedUpstream> all = new ArrayList<>(present.values());
        all.addAll(lapsed.values());
        return all;
    }

    private boolean isSettling(long nowNanos) {
        return away || wasAway && nowNanos - backNanos < RETURN_GRACE.toNanos();
    }
}
