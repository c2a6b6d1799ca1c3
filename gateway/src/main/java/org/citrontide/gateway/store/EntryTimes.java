package org.citrontide.gateway.store;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.citrontide.platform.MetadataStore.Item;

/**
 * The times at which the present revisions of entries were first received.
 *
 * <p>Invariant: reading an unchanged entry again, in a full read or a copy of a peer, does not make it newer; else an
 * old entry would replace what an upstream has said of itself since. An entry is unchanged if its value is, too: a
 * store that has returned from an older copy gives revisions out again. Not thread-safe: confined to the event loop.
 */
final class EntryTimes {
    private record Received(long revision, byte[] value, long nanos) {}

    private final Map<String, Received> byKey = new HashMap<>();

    /** Returns the monotonic time in ns at which this revision of an item was first received. */
    long receivedNanos(Item i, long nowNanos) {
        Received known = byKey.get(i.key());
        if (known != null && known.revision() == i.revision() && Arrays.equals(known.value(), i.value())) {
            return known.nanos();
        }
        byKey.put(i.key(), new Received(i.revision(), i.value(), nowNanos));
        return nowNanos;
    }

    /** Discards the time of an item that was removed. */
    void remove(String key) {
        byKey.remove(key);
    }

    /** Discards the times of all other keys. */
    void retain(Set<String> keys) {
        byKey.keySet().retainAll(keys);
    }
}
