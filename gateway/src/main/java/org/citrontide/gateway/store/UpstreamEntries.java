package org.citrontide.gateway.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.citrontide.core.gateway.MembershipView;
import org.citrontide.core.gateway.MembershipView.GracePeriod;
import org.citrontide.core.outage.HeartbeatCounter;
import org.citrontide.core.outage.Heartbeats;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore.Change;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.platform.UpstreamDecoder;
import org.citrontide.runtime.log.EventLog;

/**
 * The upstreams of one gateway, from the entries that its mirror reads.
 *
 * <p>Invariants: an entry that can't be decoded yields no upstream and doesn't affect the others; the heartbeats that a
 * read shows are known before any of its removals takes effect. Not thread-safe: confined to the event loop.
 */
final class UpstreamEntries {
    private static final EventLog LOG = EventLog.of(UpstreamEntries.class);
    // Bounds the memory of what was logged once.
    private static final int MAX_LOGGED = 10_000;

    private final MembershipView membership = new MembershipView();
    private final HeartbeatCounter heartbeats = new HeartbeatCounter();
    private final EntryTimes entryTimes = new EntryTimes();
    private final Set<String> loggedOnce = new HashSet<>();

    /** A change of an entry; empty if it was removed or has become unusable. */
    private record EntryChange(String id, Optional<ListedUpstream> upstream) {}

    /** Returns whether an item is no entry of an upstream, or one that can be decoded; logs one that can't, once. */
    boolean isUsable(Item i) {
        return !isEntry(i.key()) || decode(i).isPresent();
    }

    /** Returns whether a key is none of an upstream, or that of an entry that could be decoded. */
    boolean isMirrored(String key) {
        return !isEntry(key) || membership.isListed(key.substring(UpstreamDecoder.KEY_PREFIX.length()));
    }

    /** Returns the upstreams considered available. */
    List<ListedUpstream> list() {
        return membership.upstreams();
    }

    void recordUnansweredCall() {
        membership.recordUnansweredCall(System.nanoTime());
    }

    void recordStoreFailure() {
        membership.recordStoreFailure(System.nanoTime());
    }

    /**
     * Records that the store has returned from an older copy of itself.
     *
     * @param servedNanos monotonic time in ns at which it served in the new era
     * @return the grace period that begins, because entries that the copy lacks are written again
     */
    GracePeriod recordStoreReturn(long servedNanos) {
        return membership.recordStoreReturn(servedNanos);
    }

    /**
     * Replaces all entries by those that the store has served.
     *
     * @param items all items of the store
     * @param servedBy who was served, for the log
     * @param servedNanos monotonic time in ns at which the store served them
     * @return the grace period that begins, if the store was away before
     */
    Optional<GracePeriod> replaceAll(List<Item> items, String servedBy, long servedNanos) {
        List<Item> entries = items.stream().filter(i -> isEntry(i.key())).toList();
        entryTimes.retain(entries.stream().map(Item::key).collect(Collectors.toSet()));
        List<ListedUpstream> upstreams = new ArrayList<>();
        entries.forEach(i -> decode(i).ifPresent(upstreams::add));
        heartbeats.retain(upstreams.stream().map(ListedUpstream::id).collect(Collectors.toSet()));
        Optional<GracePeriod> grace = recordServed(heartbeats.take(), servedBy, servedNanos);
        membership.replaceAll(upstreams, servedNanos).forEach(UpstreamEntries::logRemoved);
        return grace;
    }

    /**
     * Applies the changes since the last read.
     *
     * @param changes changes of any keys, as far as they are mirrored, in revision order
     * @param servedBy who was served, for the log
     * @param servedNanos monotonic time in ns at which the store served them
     * @return the grace period that begins, if the store was away before
     */
    Optional<GracePeriod> apply(List<Change> changes, String servedBy, long servedNanos) {
        List<EntryChange> entryChanges =
                changes.stream().filter(c -> isEntry(c.key())).map(this::read).toList();
        Optional<GracePeriod> grace = recordServed(heartbeats.take(), servedBy, servedNanos);
        entryChanges.forEach(c -> applyChange(c, servedNanos));
        return grace;
    }

    /** Drops the entries that were kept, if the store served after their time; returns whether there were any. */
    boolean expire(long servedNanos) {
        Set<String> dropped = membership.expire(servedNanos);
        dropped.forEach(id -> LOG.info("upstream-expired").with("upstream", id).write());
        return !dropped.isEmpty();
    }

    private Optional<GracePeriod> recordServed(Heartbeats counted, String servedBy, long servedNanos) {
        Optional<GracePeriod> grace = membership.recordStoreServed(counted, servedNanos);
        grace.ifPresent(g -> LOG.info("removed-entries-kept")
                .with("unserved-ms", g.unserved().toMillis())
                .with("served", servedBy)
                .with("upstreams", counted.countByUpstream().size())
                .with(
                        "heartbeats",
                        counted.countByUpstream().values().stream()
                                .mapToLong(n -> n)
                                .sum())
                .write());
        return grace;
    }

    private EntryChange read(Change c) {
        String id = c.key().substring(UpstreamDecoder.KEY_PREFIX.length());
        Optional<ListedUpstream> upstream = c.item().flatMap(this::decode);
        if (upstream.isEmpty()) {
            heartbeats.recordRemoval(id);
            entryTimes.remove(c.key());
        }
        return new EntryChange(id, upstream);
    }

    private void applyChange(EntryChange c, long servedNanos) {
        if (c.upstream().isEmpty()) {
            logRemoved(c.id(), membership.removeEntry(c.id(), servedNanos));
            return;
        }
        ListedUpstream u = c.upstream().get();
        if (u.isDraining() && loggedOnce.add("draining " + u.id())) {
            LOG.info("upstream-draining").with("upstream", u.id()).write();
        }
        membership.putEntry(u);
    }

    private Optional<ListedUpstream> decode(Item i) {
        try {
            UpstreamDecoder.Entry e =
                    UpstreamDecoder.decode(i.key(), i.value(), entryTimes.receivedNanos(i, System.nanoTime()));
            heartbeats.recordEntry(e.upstream().id(), i.revision(), e.sequence());
            return Optional.of(e.upstream());
        } catch (DecodeException e) {
            if (loggedOnce.size() < MAX_LOGGED && loggedOnce.add(i.key())) {
                LOG.warn("upstream-entry-unusable")
                        .with("key", i.key())
                        .with("why", e.getMessage())
                        .write();
            }
            return Optional.empty();
        }
    }

    private static boolean isEntry(String key) {
        return key.startsWith(UpstreamDecoder.KEY_PREFIX);
    }

    private static void logRemoved(String id, boolean isKept) {
        LOG.info("upstream-removed").with("upstream", id).with("kept", isKept).write();
    }
}
