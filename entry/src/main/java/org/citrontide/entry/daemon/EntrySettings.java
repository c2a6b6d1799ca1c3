package org.citrontide.entry.daemon;

import java.net.InetSocketAddress;
import java.util.List;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * The settings of an entry. Immutable.
 *
 * @param process settings that every process has
 * @param callerAddress where callers' requests are accepted
 * @param zones availability zones whose upstreams are used, the own one first
 * @param maxTeamLabels teams that have metric labels of their own
 * @param httpThreads most threads for callers' connections
 * @param maxConnections most connections of callers; more wait to be accepted
 * @param maxOpenRequests most requests without a final answer; more are refused at once
 * @param maxLinks links to sidecars wanted in all
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
    private static final int LEAST_THREADS = 4;
    private static final int MAX_THREADS = 64;
    private static final int DEFAULT_THREADS = 8;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int DEFAULT_CONNECTIONS = 4000;
    private static final int DEFAULT_OPEN_REQUESTS = 2000;
    private static final int MAX_LINKS = 10_000;
    private static final int DEFAULT_LINKS = 64;

    /** Copies the list. */
    public EntrySettings {
        zones = List.copyOf(zones);
    }

    /**
     * Reads a settings file.
     *
     * @param file name used in messages
     * @param text content of the file
     * @return the settings or every mistake
     */
    public static ValidationResult<EntrySettings> parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        ProcessSettings process = ProcessSettings.read(root);
        InetSocketAddress caller = ProcessSettings.readAddress(root, "caller_address");
        List<String> zones = root.strings("zones");
        int labels = root.integer("max_team_labels", 0, MAX_LABELS, DEFAULT_LABELS);
        int threads = root.integer("http_threads", LEAST_THREADS, MAX_THREADS, DEFAULT_THREADS);
        int connections = root.integer("max_connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS);
        int open = root.integer("max_open_requests", 1, MAX_CONNECTIONS, DEFAULT_OPEN_REQUESTS);
        int links = root.integer("max_links", 1, MAX_LINKS, DEFAULT_LINKS);
        List<String> used = zones.isEmpty() ? List.of(process.zone()) : zones;
        return root.finish(() -> new EntrySettings(process, caller, used, labels, threads, connections, open, links));
    }
}
