package org.citrontide.core.publication;

import java.util.List;

import org.citrontide.core.toml.Violation;

/** What a {@link SpreadController} asks of its shell. Immutable. */
public sealed interface SpreadAction {

    /**
     * Ask a peer for the files newer than the version in force here.
     *
     * @param peer identifier of the link
     * @param haveVersion version in force here
     */
    record AskPeer(long peer, long haveVersion) implements SpreadAction {}

    /**
     * Read the head and the files newer than the version in force here.
     *
     * @param watch whether to wait for a head newer than the one last seen
     */
    record AskStore(boolean watch) implements SpreadAction {}

    /**
     * Put a configuration in force.
     *
     * @param configuration the configuration, validated
     */
    record Install(Configuration configuration) implements SpreadAction {}

    /**
     * Tell operators that the platform's service holds a lower version than this process.
     *
     * @param storeVersion version in the platform's service
     * @param inForce version in force here
     */
    record AlarmStoreWentBack(long storeVersion, long inForce) implements SpreadAction {}

    /**
     * Tell operators that a version was not installed because it is not valid.
     *
     * @param version the version
     * @param violations its mistakes
     */
    record AlarmInvalid(long version, List<Violation> violations) implements SpreadAction {}
}
