package org.citrontide.gateway.store;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.citrontide.platform.ConfigurationDecoder;
import org.citrontide.platform.EvacuationDecoder;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.platform.UpstreamDecoder;
import org.citrontide.runtime.log.EventLog;

/**
 * Selects the items of the store that a gateway keeps and passes on to its peers.
 *
 * <p>Handles entries of other writers under the keys of upstreams, each of up to a megabyte: they name no upstream, and
 * must not take the memory of the entries that do. Not thread-safe: confined to the event loop.
 */
final class MirroredKeys {
    private static final EventLog LOG = EventLog.of(MirroredKeys.class);
    private static final List<String> PREFIXES = List.of(
            UpstreamDecoder.KEY_PREFIX, GatewayRegistration.PREFIX, CrashEvidenceStore.PREFIX, GroupStore.PREFIX);
    // About 400 bytes; the rest is left for fields that are not known here.
    private static final int MAX_UPSTREAM_BYTES = 16 * 1024;
    // The groups and the crash evidence of 200 upstreams have some 60 KB.
    private static final int MAX_ENTRY_BYTES = 256 * 1024;
    // Bounds the memory of the keys that were logged.
    private static final int MAX_LOGGED_KEYS = 1000;

    private final Set<String> loggedKeys = new HashSet<>();

    /** Returns what is kept of an item, empty if nothing is; logs one that is too large to be what its key says. */
    Optional<Item> select(Item i) {
        if (EvacuationDecoder.zone(i.key()).isPresent()) {
            // The value has no meaning, and a large one would keep peers from reading the copy.
            return Optional.of(new Item(i.key(), new byte[0], i.revision()));
        }
        return isKept(i) ? Optional.of(i) : Optional.empty();
    }

    private boolean isKept(Item i) {
        if (i.key().equals(ConfigurationDecoder.KEY)) {
            return true;
        }
        if (PREFIXES.stream().noneMatch(i.key()::startsWith)) {
            return false;
        }
        int maxBytes = i.key().startsWith(UpstreamDecoder.KEY_PREFIX) ? MAX_UPSTREAM_BYTES : MAX_ENTRY_BYTES;
        if (i.value().length <= maxBytes) {
            return true;
        }
        if (loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(i.key())) {
            LOG.warn("store-entry-too-large")
                    .with("key", i.key())
                    .with("bytes", i.value().length)
                    .write();
        }
        return false;
    }
}
