package org.citrontide.entry.daemon;

import java.net.InetSocketAddress;
import java.util.List;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * The settings of an entry. Immutable.
 *
 * @param process settings common to all processes
 * @param callerAddress address on which callers' requests are accepted
 * @param zones availability zones whose upstreams are used, the entry's own zone first
 * @param maxTeamLabels maximum number of teams that have their own metric label
 * @param httpThreads maximum number of threads for the connections of callers
 * @param maxConnections maximum number of connections of callers; further ones wait to be accepted
 * @param maxOpenRequests maximum number of requests without a final answer; further ones are refused immediately
 * @param maxLinks target number of links to sidecars over all services
 */
public record EntrySettings(
        ProcessSettings process,
        InetSocketAddress callerAddress,
        List<String> zones,
        int maxTeamLabels,
        int httpThreads,
        int maxConnections,
        int maxOpenRequests,
        int maxLinks) {
    private static final int MAX_LABELS = 1000;
    private static final int DEFAULT_LABELS = 300;
    private static final int MIN_THREADS = 4;
    private static final int MAX_THREADS = 64;
    private static final int DEFAULT_THREADS = 8;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int DEFAULT_CONNECTIONS = 4000;
    private static final int DEFAULT_OPEN_REQUESTS = 2000;
    private static final int MAX_LINKS = 10_000;
    private static final int DEFAULT_LINKS = 64;

    /** Copies the list of zones. */
    public EntrySettings {
        zones = List.copyOf(zones);
    }

    /**
     * Parses and validates a settings file.
     *
     * @param file name of the file, used in error messages
     * @param text content of the file
     * @return the settings or all violations
     */
    public static ValidationResult<EntrySettings> parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        ProcessSettings process = ProcessSettings.read(root);
        InetSocketAddress callerAddress = ProcessSettings.readAddress(root, "caller_address");
        List<String> zones = root.strings("zones");
        int labels = root.integer("max_team_labels", 0, MAX_LABELS, DEFAULT_LABELS);
        int threads = root.integer("http_threads", MIN_THREADS, MAX_THREADS, DEFAULT_THREADS);
        int connections = root.integer("max_connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS);
        int openRequests = root.integer("max_open_requests", 1, MAX_CONNECTIONS, DEFAULT_OPEN_REQUESTS);
        int links = root.integer("max_links", 1, MAX_LINKS, DEFAULT_LINKS);
        List<String> usedZones = zones.isEmpty() ? List.of(process.zone()) : zones;
        return root.finish(() -> new EntrySettings(
                process, callerAddress, usedZones, labels, threads, connections, openRequests, links));
    }
}
