package org.citrontide.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.MetadataStore.Item;

/**
 * The pages of one read of all keys, which are not a snapshot: keys may change between two pages.
 *
 * <p>Invariants: the revision is that of the first page, so that a watch from it shows each change that a page read
 * earlier has missed; only items that are mirrored are held, and no entry of an upstream that can't be used, so that a
 * page is released once it is added. Not thread-safe: confined to the event loop.
 */
final class FullRead {
    private final MirroredKeys keys;
    private final Predicate<Item> isUsable;
    private final List<Item> items = new ArrayList<>();
    private boolean isLeaderKeyHeld;
    private String lastKey = "";
    private boolean hasPage;
    private long revision;

    FullRead(MirroredKeys keys, Predicate<Item> isUsable) {
        this.keys = keys;
        this.isUsable = isUsable;
    }

    void add(MetadataStore.Page page) {
        revision = hasPage ? revision : page.revision();
        hasPage = true;
        page.items().stream()
                .flatMap(i -> keys.select(i).stream())
                .filter(isUsable)
                .forEach(items::add);
        isLeaderKeyHeld |= page.items().stream().anyMatch(i -> i.key().equals(LeaderElection.LEADER_KEY));
        lastKey = page.items().isEmpty() ? lastKey : page.items().getLast().key();
    }

    /** Returns the key after which the next page begins, empty before the first one. */
    String lastKey() {
        return lastKey;
    }

    List<Item> items() {
        return items;
    }

    /** Returns whether the key of the leader was read; it is not mirrored, because only the store knows its lease. */
    boolean isLeaderKeyHeld() {
        return isLeaderKeyHeld;
    }

    /** Returns the revision from which a watch continues. */
    long revision() {
        return revision;
    }
}
