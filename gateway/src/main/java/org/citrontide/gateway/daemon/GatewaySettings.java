package org.citrontide.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.expertmap.ControlCosts;
import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.core.warmup.ColdSettings;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * The settings of a gateway. Immutable.
 *
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param callerAddress address on which callers' requests are accepted
 * @param adminAddress address on which health checks and metrics are served
 * @param storeAddress address of the platform's store
 * @param peerAddress address on which peers can read this gateway's copy of the store, empty if they can't
 * @param peers addresses of the peers whose copies are read while the store is unavailable to this gateway
 * @param maxConnections maximum number of connections of callers
 * @param linkMegabitsPerSecond rate of the VM's link in Mbit/s, on which the timeouts of large orders depend
 * @param stopLimit maximum time that a graceful shutdown waits for requests in flight
 * @param changeLimit time within which a change in the store must be in force here
 * @param retryRatio retries allowed per request of a service
 * @param retryWindow length of the sliding window over which requests and retries are counted
 * @param retrySlack retries per window allowed to all gateways together, regardless of the number of requests
 * @param maxTeamLabels maximum number of teams that have their own metric labels
 * @param responseMemoryBytes maximum memory in bytes for incomplete responses of upstreams
 * @param memory bounds on the memory and time that callers can take
 * @param locality regions and evacuations of zones
 * @param cold excess that is allowed over the rates of cold upstreams
 * @param controlCosts prices of reads of expert counts, orders and copies; without prices, thresholds alone decide
 * @param placement how the load of upstreams is estimated
 * @param maxStartupRequests maximum number of requests that wait for the first configuration, 0 for none
 */
public record GatewaySettings(
        String vm,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress storeAddress,
        Optional<InetSocketAddress> peerAddress,
        List<InetSocketAddress> peers,
        int maxConnections,
        double linkMegabitsPerSecond,
        Duration stopLimit,
        Duration changeLimit,
        double retryRatio,
        Duration retryWindow,
        int retrySlack,
        int maxTeamLabels,
        long responseMemoryBytes,
        MemorySettings memory,
        LocalitySettings locality,
        ColdSettings cold,
        ControlCosts controlCosts,
        PlacementSettings placement,
        int maxStartupRequests) {
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int DEFAULT_CONNECTIONS = 2000;
    private static final double MIN_LINK_MBPS = 0.1;
    private static final double MAX_LINK_MBPS = 1_000_000;
    private static final double DEFAULT_LINK_MBPS = 100;
    private static final int MAX_STOP_MS = 3_600_000;
    private static final int DEFAULT_STOP_MS = 8000;
    private static final double MIN_KILL_S = 1;
    private static final double MAX_KILL_S = 3600;
    private static final double MILLIS_PER_SECOND = 1000;
    // Time that the process takes to exit after its stop, on a small share of a core.
    private static final Duration EXIT_MARGIN = Duration.ofMillis(500);
    private static final int MIN_CHANGE_MS = 1000;
    private static final int MAX_CHANGE_MS = 60_000;
    private static final int DEFAULT_CHANGE_MS = 2000;
    private static final double DEFAULT_RATIO = 0.2;
    private static final int MAX_WINDOW_MS = 600_000;
    private static final int DEFAULT_WINDOW_MS = 10_000;
    private static final int MAX_SLACK = 1_000_000;
    private static final int DEFAULT_SLACK = 50;
    private static final int MAX_LABELS = 1000;
    private static final int DEFAULT_LABELS = 300;
    private static final int MAX_RESPONSE_MEMORY_KB = 1024 * 1024 * 1024;
    // The rest of the heap holds requests, the store's entries and what the process needs without load.
    private static final int RESPONSE_HEAP_DIVISOR = 3;
    private static final int BYTES_PER_KB = 1024;
    private static final int MAX_STARTUP_REQUESTS = 120;

    /** Copies the list, so that the record is immutable. */
    public GatewaySettings {
        peers = List.copyOf(peers);
    }

    /**
     * Parses a settings file.
     *
     * @param file name of the file, used in error messages
     * @param text content of the file
     * @return the settings, or all violations
     */
    public static ValidationResult<GatewaySettings> parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        String vm = root.requireString("vm");
        String zone = root.requireString("zone");
        InetSocketAddress caller = ProcessSettings.readAddress(root, "caller_address");
        InetSocketAddress admin = ProcessSettings.readAddress(root, "admin_address");
        InetSocketAddress store = ProcessSettings.readAddress(root, "store_address");
        Optional<InetSocketAddress> peer = root.names().contains("peer_address")
                ? Optional.of(ProcessSettings.readAddress(root, "peer_address"))
                : Optional.empty();
        List<InetSocketAddress> peers = ProcessSettings.readAddresses(root, "peers");
        int connections = root.integer("max_connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS);
        double link = root.decimal("link_mbps", MIN_LINK_MBPS, MAX_LINK_MBPS, DEFAULT_LINK_MBPS);
        Duration stop = readStopLimit(root);
        Duration change = root.milliseconds("change_limit_ms", MIN_CHANGE_MS, MAX_CHANGE_MS, DEFAULT_CHANGE_MS);
        double ratio = root.decimal("repeat_ratio", 0, 1, DEFAULT_RATIO);
        Duration window = root.milliseconds("repeat_window_ms", 1, MAX_WINDOW_MS, DEFAULT_WINDOW_MS);
        int slack = root.integer("repeat_slack", 0, MAX_SLACK, DEFAULT_SLACK);
        int labels = root.integer("max_team_labels", 0, MAX_LABELS, DEFAULT_LABELS);
        int responseMemory = root.integer("response_memory_kb", 1, MAX_RESPONSE_MEMORY_KB, defaultResponseMemoryKb());
        long responseBytes = (long) responseMemory * BYTES_PER_KB;
        MemorySettings memory = MemorySettings.read(root, responseBytes);
        LocalitySettings locality = LocalitySettings.read(root);
        ColdSettings cold = ColdSettingsReader.read(root);
        ControlCosts costs = ControlCostSettings.read(root);
        PlacementSettings placement = PlacementSettingsReader.read(root);
        int startupRequests = root.integer("max_startup_requests", 0, MAX_STARTUP_REQUESTS, 0);
        return root.finish(() -> new GatewaySettings(
                vm,
                zone,
                caller,
                admin,
                store,
                peer,
                peers,
                connections,
                link,
                stop,
                change,
                ratio,
                window,
                slack,
                labels,
                responseBytes,
                memory,
                locality,
                cold,
                costs,
                placement,
                startupRequests));
    }

    /** Reads the time limit of a stop, which ends before the process is killed. */
    private static Duration readStopLimit(TomlSection root) {
        Duration limit = root.milliseconds("stop_limit_ms", 0, MAX_STOP_MS, DEFAULT_STOP_MS);
        double killSeconds = root.decimal("kill_after_s", MIN_KILL_S, MAX_KILL_S, Double.POSITIVE_INFINITY);
        if (Double.isInfinite(killSeconds)) {
            return limit;
        }
        Duration untilKill =
                Duration.ofMillis((long) (killSeconds * MILLIS_PER_SECOND)).minus(EXIT_MARGIN);
        return untilKill.compareTo(limit) < 0 || !root.names().contains("stop_limit_ms") ? untilKill : limit;
    }

    private static int defaultResponseMemoryKb() {
        long kb = Runtime.getRuntime().maxMemory() / RESPONSE_HEAP_DIVISOR / BYTES_PER_KB;
        return (int) Math.min(MAX_RESPONSE_MEMORY_KB, kb);
    }
}
