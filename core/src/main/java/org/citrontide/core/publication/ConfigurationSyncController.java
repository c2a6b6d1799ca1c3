package org.citrontide.core.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.citrontide.core.toml.ValidationResult;

/**
 * Keeps a process on the newest configuration known to its peers or to the platform's store.
 *
 * <p>Watchers wait for changes at the platform's store; all other processes learn versions from the digests of their
 * peers and fetch the changed files from a peer that has them. A process without a recent digest reads the store
 * itself, at jittered intervals with a bounded rate.
 *
 * <p>Invariants: the version in force never decreases; only a valid configuration is put in force; at most one call to
 * the store and one request to a peer are outstanding. Time is monotonic and passed in. Not thread-safe.
 */
public final class ConfigurationSyncController {
    private static final Duration MAX_FRESH_AGE = Duration.ofSeconds(8);
    private static final Duration MIN_STORE_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MAX_WATCHER_INTERVAL = Duration.ofSeconds(16);
    private static final Duration MAX_NON_WATCHER_INTERVAL = Duration.ofSeconds(128);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    private final RandomGenerator random;
    private Configuration inForce = Configuration.NONE;
    private Optional<Long> confirmedNanos = Optional.empty();
    private Optional<PeerRequest> peerRequest = Optional.empty();
    private boolean isStoreCallOutstanding;
    private Optional<Long> nextStoreCallNanos = Optional.empty();
    private Duration storeInterval = MIN_STORE_INTERVAL;
    private long reportedInvalidVersion;
    private long reportedStoreVersion = -1;
    private boolean isWatcher;

    /**
     * Creates a controller without a configuration in force.
     *
     * @param random source of jitter
     */
    public ConfigurationSyncController(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#NONE} before the first
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Returns the time since the store last confirmed the version in force to a watcher, as known to this process.
     *
     * @param nowNanos monotonic time in ns
     * @return the time, or empty if the version was never confirmed
     */
    public Optional<Duration> confirmationAge(long nowNanos) {
        return confirmedNanos.map(t -> Duration.ofNanos(Math.max(0, nowNanos - t)));
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return the actions that the caller must perform, in order
     */
    public List<ConfigurationSyncAction> handle(ConfigurationSyncEvent event, long nowNanos) {
        List<ConfigurationSyncAction> actions = new ArrayList<>();
        switch (event) {
            case ConfigurationSyncEvent.PeerDigest d -> handlePeerDigest(d, nowNanos, actions);
            case ConfigurationSyncEvent.PeerDisconnected closed ->
                peerRequest = peerRequest.filter(request -> request.peer() != closed.peer());
            case ConfigurationSyncEvent.PeerFiles f -> handlePeerFiles(f, actions);
            case ConfigurationSyncEvent.StoreHead h -> handleStoreHead(h, nowNanos, actions);
            case ConfigurationSyncEvent.StoreFailed f -> handleStoreFailed(nowNanos);
            case ConfigurationSyncEvent.Tick t -> handleTick(t, nowNanos, actions);
        }
        return actions;
    }

    private void handlePeerDigest(
            ConfigurationSyncEvent.PeerDigest digest, long nowNanos, List<ConfigurationSyncAction> actions) {
        if (digest.version() >= inForce.version()) {
            recordConfirmation(nowNanos - digest.age().toNanos());
        }
        boolean isAwaitingPeer = peerRequest
                .filter(q -> nowNanos - q.sentNanos() < PEER_TIMEOUT.toNanos())
                .isPresent();
        if (digest.version() > inForce.version() && digest.version() != reportedInvalidVersion && !isAwaitingPeer) {
            peerRequest = Optional.of(new PeerRequest(digest.peer(), nowNanos));
            actions.add(new ConfigurationSyncAction.RequestFiles(digest.peer(), inForce.version()));
        }
    }

    private void handlePeerFiles(ConfigurationSyncEvent.PeerFiles peerFiles, List<ConfigurationSyncAction> actions) {
        peerRequest = peerRequest.filter(request -> request.peer() != peerFiles.peer());
        if (peerFiles.version() <= inForce.version()) {
            return;
        }
        Map<String, Configuration.FileText> files = new HashMap<>();
        for (Map.Entry<String, Long> e : peerFiles.files().entrySet()) {
            Optional<String> text = Optional.ofNullable(peerFiles.texts().get(e.getKey()))
                    .or(() -> textInForce(e.getKey(), e.getValue()));
            if (text.isEmpty()) {
                return;
            }
            files.put(e.getKey(), new Configuration.FileText(e.getValue(), text.get()));
        }
        install(peerFiles.version(), files, actions);
    }

    private Optional<String> textInForce(String name, long version) {
        return Optional.ofNullable(inForce.files().get(name))
                .filter(t -> t.version() == version)
                .map(Configuration.FileText::text);
    }

    private void handleStoreHead(
            ConfigurationSyncEvent.StoreHead storeHead, long nowNanos, List<ConfigurationSyncAction> actions) {
        isStoreCallOutstanding = false;
        storeInterval = MIN_STORE_INTERVAL;
        scheduleStoreCall(nowNanos, isWatcher ? Duration.ZERO : storeInterval);
        long version = storeHead.head().version();
        if (version < inForce.version()) {
            if (reportedStoreVersion != version) {
                reportedStoreVersion = version;
                actions.add(new ConfigurationSyncAction.ReportStoreRegression(version, inForce.version()));
            }
            scheduleStoreCall(nowNanos, MAX_WATCHER_INTERVAL);
            return;
        }
        recordConfirmation(nowNanos);
        if (version == inForce.version()) {
            return;
        }
        Map<String, Configuration.FileText> files = new HashMap<>();
        for (Map.Entry<String, Head.HeadFile> e : storeHead.head().files().entrySet()) {
            Optional<String> text = Optional.ofNullable(
                            storeHead.texts().get(e.getValue().hash()))
                    .or(() -> textInForce(e.getKey(), e.getValue().version()));
            if (text.isEmpty()) {
                return;
            }
            files.put(e.getKey(), new Configuration.FileText(e.getValue().version(), text.get()));
        }
        install(version, files, actions);
    }

    private void install(
            long version, Map<String, Configuration.FileText> files, List<ConfigurationSyncAction> actions) {
        ValidationResult<Configuration> checked = Configuration.check(version, files);
        if (checked.value().isPresent()) {
            inForce = checked.value().get();
            actions.add(new ConfigurationSyncAction.InstallConfiguration(inForce));
        } else if (reportedInvalidVersion != version) {
            reportedInvalidVersion = version;
            actions.add(new ConfigurationSyncAction.ReportInvalidConfiguration(version, checked.violations()));
        }
    }

    private void handleStoreFailed(long nowNanos) {
        isStoreCallOutstanding = false;
        Duration doubled = storeInterval.multipliedBy(2);
        Duration maxInterval = isWatcher ? MAX_WATCHER_INTERVAL : MAX_NON_WATCHER_INTERVAL;
        storeInterval = doubled.compareTo(maxInterval) < 0 ? doubled : maxInterval;
        scheduleStoreCall(nowNanos, storeInterval);
    }

    private void handleTick(ConfigurationSyncEvent.Tick tick, long nowNanos, List<ConfigurationSyncAction> actions) {
        isWatcher = tick.isWatcher();
        if (isStoreCallOutstanding) {
            return;
        }
        boolean isFresh = confirmationAge(nowNanos)
                .filter(a -> a.compareTo(MAX_FRESH_AGE) < 0)
                .isPresent();
        if (!isWatcher && isFresh) {
            return;
        }
        if (nextStoreCallNanos.isEmpty()) {
            scheduleStoreCall(nowNanos, isWatcher ? Duration.ZERO : MIN_STORE_INTERVAL);
        }
        if (nowNanos >= nextStoreCallNanos.get()) {
            isStoreCallOutstanding = true;
            actions.add(new ConfigurationSyncAction.ReadStore(isWatcher));
        }
    }

    /** Randomizes half of the interval, so that processes that lost the store together do not retry together. */
    private void scheduleStoreCall(long nowNanos, Duration interval) {
        long half = interval.toNanos() / 2;
        nextStoreCallNanos = Optional.of(nowNanos + half + (half == 0 ? 0 : random.nextLong(half + 1)));
    }

    private void recordConfirmation(long nanos) {
        confirmedNanos = Optional.of(confirmedNanos.map(t -> Math.max(t, nanos)).orElse(nanos));
    }

    private record PeerRequest(long peer, long sentNanos) {}
}
