package org.citrontide.entry.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.citrontide.core.membership.ListedVm;
import org.citrontide.store.client.StoreClient;

/**
 * Watches the platform's VM lists of the given zones.
 *
 * <p>Invariants: while a list can't be read, the last list read remains in use; at most one call per zone is in flight.
 * Thread-safe: only the watcher's own thread accesses the lists.
 */
public final class VmListWatcher implements AutoCloseable {
    private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(20);
    private static final int MEAN_RETRY_DELAY_MS = 2000;
    private static final int POLL_DELAY_MS = 50;

    private final StoreClient store;
    private final List<String> zones;
    private final RandomGenerator random;
    private final Consumer<Map<String, List<ListedVm>>> listener;
    private final ScheduledExecutorService executor;
    private final Map<String, StoreClient.VmList> lists = new HashMap<>();

    /**
     * Creates the watcher; {@link #start()} starts it.
     *
     * @param store client of the platform's store
     * @param zones availability zones to watch
     * @param random source of jitter
     * @param listener receives all lists by zone after each read, on the watcher's thread
     */
    public VmListWatcher(
            StoreClient store,
            List<String> zones,
            RandomGenerator random,
            Consumer<Map<String, List<ListedVm>>> listener) {
        this.store = store;
        this.zones = List.copyOf(zones);
        this.random = random;
        this.listener = listener;
        this.executor = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "vm-lists");
            t.setDaemon(true);
            return t;
        });
    }

    /** Starts to watch the list of each zone. */
    public void start() {
        zones.forEach(z -> executor.execute(() -> requestList(z)));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void requestList(String zone) {
        long lastRevision = lists.containsKey(zone) ? lists.get(zone).revision() : 0;
        store.watchVmList(zone, lastRevision, LONG_POLL_TIMEOUT)
                .thenAcceptAsync(list -> handleList(zone, list), executor);
    }

    private void handleList(String zone, Optional<StoreClient.VmList> list) {
        long delayMillis = POLL_DELAY_MS;
        if (list.isPresent()) {
            lists.put(zone, list.get());
            Map<String, List<ListedVm>> byZone = new HashMap<>();
            lists.forEach((z, l) -> byZone.put(z, l.vms()));
            listener.accept(byZone);
        } else {
            delayMillis = MEAN_RETRY_DELAY_MS / 2 + random.nextInt(MEAN_RETRY_DELAY_MS);
        }
        executor.schedule(() -> requestList(zone), delayMillis, TimeUnit.MILLISECONDS);
    }
}
