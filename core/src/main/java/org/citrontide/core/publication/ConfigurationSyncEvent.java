package org.citrontide.core.publication;

import java.time.Duration;
import java.util.Map;

/** An event that a {@link ConfigurationSyncController} handles. Immutable. */
public sealed interface ConfigurationSyncEvent {

    /**
     * A peer reported the version that it has in force.
     *
     * @param peer identifier of the link to the peer
     * @param version the peer's version
     * @param age time since the store last confirmed that version to a watcher
     */
    record PeerDigest(long peer, long version, Duration age) implements ConfigurationSyncEvent {}

    /**
     * The link to a peer was closed.
     *
     * @param peer identifier of the link
     */
    record PeerDisconnected(long peer) implements ConfigurationSyncEvent {}

    /**
     * A peer sent its configuration, with the content of the changed files only.
     *
     * @param peer identifier of the link
     * @param version the peer's version
     * @param files versions of all files in force by name
     * @param texts content of the files newer than this process's version
     */
    record PeerFiles(long peer, long version, Map<String, Long> files, Map<String, String> texts)
            implements ConfigurationSyncEvent {}

    /**
     * The platform's store was read.
     *
     * @param head the head in the store
     * @param texts contents by hash of those files that had to be read
     */
    record StoreHead(Head head, Map<String, String> texts) implements ConfigurationSyncEvent {}

    /** The platform's store did not respond. */
    record StoreFailed() implements ConfigurationSyncEvent {}

    /**
     * Time advanced, or this process became or ceased to be a watcher.
     *
     * @param isWatcher whether this process is one of its zone's watchers
     */
    record Tick(boolean isWatcher) implements ConfigurationSyncEvent {}
}
