package org.citrontide.core.publication;

import java.util.List;

import org.citrontide.core.toml.Violation;

/** An action that a {@link ConfigurationSyncController} requests from its caller. Immutable. */
public sealed interface ConfigurationSyncAction {

    /**
     * Requests the files newer than the version in force from a peer.
     *
     * @param peer identifier of the link
     * @param haveVersion version in force in this process
     */
    record RequestFiles(long peer, long haveVersion) implements ConfigurationSyncAction {}

    /**
     * Reads the head and the files newer than the version in force from the platform's store.
     *
     * @param watch whether to wait for a head newer than the one last seen
     */
    record ReadStore(boolean watch) implements ConfigurationSyncAction {}

    /**
     * Puts a configuration in force.
     *
     * @param configuration the configuration, validated
     */
    record InstallConfiguration(Configuration configuration) implements ConfigurationSyncAction {}

    /**
     * Reports that the platform's store holds a lower version than this process.
     *
     * @param storeVersion version in the platform's store
     * @param inForce version in force in this process
     */
    record ReportStoreRegression(long storeVersion, long inForce) implements ConfigurationSyncAction {}

    /**
     * Reports that a version was not installed, because it is invalid.
     *
     * @param version the version
     * @param violations the violations found
     */
    record ReportInvalidConfiguration(long version, List<Violation> violations) implements ConfigurationSyncAction {}
}
