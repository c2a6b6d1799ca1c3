package org.citrontide.sidecar.daemon;

import java.net.InetSocketAddress;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * The settings of a sidecar. Immutable.
 *
 * @param process settings common to all processes
 * @param service name of the service behind the sidecar
 * @param upstreamAddress address on which the upstream listens
 * @param upstreamConnections maximum number of connections to the upstream
 * @param maxTeamLabels maximum number of teams that have their own metric label
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
     * Parses and validates a settings file.
     *
     * @param file name of the file, used in error messages
     * @param text content of the file
     * @return the settings or all violations
     */
    public static ValidationResult<SidecarSettings> parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        ProcessSettings process = ProcessSettings.read(root);
        String service = root.requireString("service");
        InetSocketAddress upstreamAddress = ProcessSettings.readAddress(root, "upstream_address");
        int connections = root.integer("upstream_connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS);
        int labels = root.integer("max_team_labels", 0, MAX_LABELS, DEFAULT_LABELS);
        return root.finish(() -> new SidecarSettings(process, service, upstreamAddress, connections, labels));
    }
}
