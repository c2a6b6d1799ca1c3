package org.citrontide.core.publication;

import java.time.Duration;
import java.util.Map;

/** What happens to a {@link SpreadController}. Immutable. */
public sealed interface SpreadEvent {

    /**
     * A peer told which version it has in force.
     *
     * @param peer identifier of the link to the peer
     * @param version the peer's version
     * @param age time since the platform last confirmed that version to a watcher
     */
    record PeerDigest(long peer, long version, Duration age) implements SpreadEvent {}

    /**
     * A link to a peer ended.
     *
     * @param peer identifier of the link
     */
    record PeerLost(long peer) implements SpreadEvent {}

    /**
     * A peer sent its configuration, or what changed in it.
     *
     * @param peer identifier of the link
     * @param version its version
     * @param files version of every file in force by name
     * @param texts content of the files newer than this process's version
     */
    record PeerFiles(long peer, long version, Map<String, Long> files, Map<String, String> texts)
            implements SpreadEvent {}

    /**
     * The platform's service answered.
     *
     * @param head the head it holds
     * @param texts content of the files by hash, as far as they had to be read
     */
    record StoreHead(Head head, Map<String, String> texts) implements SpreadEvent {}

    /** The platform's service did not answer. */
    record StoreFailed() implements SpreadEvent {}

    /**
     * Time passed, or this process became or ceased to be a watcher.
     *
     * @param watcher whether this process is one of its zone's watchers
     */
    record Tick(boolean watcher) implements SpreadEvent {}
}
