package org.citrontide.sidecar.daemon;

import java.net.InetSocketAddress;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * The settings of a sidecar. Immutable.
 *
 * @param process settings that every process has
 * @param service name of the service behind it
 * @param upstreamAddress where the upstream listens
 * @param upstreamConnections most connections to the upstream
 * @param maxTeamLabels teams that have metric labels of their own
 */
public record SidecarSettings(
        ProcessSettings process,
        String service,
        InetSocketAddress upstreamAddress,
        int upstreamConnections,
        int maxTeamLabels) {
    private static final int MAX_CONNECTIONS = 10_000;
    private static final int DEFAULT_CONNECTIONS = 256;
    private static final int MAX_LABELS = 1000;
    private static final int DEFAULT_LABELS = 300;

    /**
     * Reads a settings file.
     *
     * @param file name used in messages
     * @param text content of the file
     * @return the settings or every mistake
     */
    public static ValidationResult<SidecarSettings> parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        ProcessSettings process = ProcessSettings.read(root);
        String service = root.requireString("service");
        InetSocketAddress upstream = ProcessSettings.readAddress(root, "upstream_address");
        int connections = root.integer("upstream_connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS);
        int labels = root.integer("max_team_labels", 0, MAX_LABELS, DEFAULT_LABELS);
        return root.finish(() -> new SidecarSettings(process, service, upstream, connections, labels));
    }
}
