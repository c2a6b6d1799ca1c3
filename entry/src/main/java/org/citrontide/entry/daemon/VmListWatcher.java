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
 * Watches the platform's lists of VMs of some zones.
 *
 * <p>Invariant: a list that can't be read stays as it was last read; at most one call is outstanding for a zone. Its
 * own thread owns all state. Safe for use by many threads.
 */
public final class VmListWatcher implements AutoCloseable {
    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final int RETRY_MS = 2000;
    private static final int PAUSE_MS = 50;

    private final StoreClient store;
    private final List<String> zones;
    private final RandomGenerator random;
    private final Consumer<Map<String, List<ListedVm>>> listener;
    private final ScheduledExecutorService thread;
    private final Map<String, StoreClient.VmList> lists = new HashMap<>();

    /**
     * Prepares the watcher; {@link #start()} starts it.
     *
     * @param store client of the platform's service
     * @param zones the zones to watch
     * @param random source of jitter
     * @param listener gets the lists by zone after each change, on the watcher's thread
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
        this.thread = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "vm-lists");
            t.setDaemon(true);
            return t;
        });
    }

    /** Starts one watch for each zone. */
    public void start() {
        zones.forEach(z -> thread.execute(() -> watch(z)));
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    private void watch(String zone) {
        long after = lists.containsKey(zone) ? lists.get(zone).revision() : 0;
        store.watchVmList(zone, after, WAIT).thenAcceptAsync(list -> watched(zone, list), thread);
    }

    private void watched(String zone, Optional<StoreClient.VmList> list) {
        long pause = PAUSE_MS;
        if (list.isPresent()) {
            lists.put(zone, list.get());
            Map<String, List<ListedVm>> byZone = new HashMap<>();
            lists.forEach((z, l) -> byZone.put(z, l.vms()));
            listener.accept(byZone);
        } else {
            pause = RETRY_MS / 2 + random.nextInt(RETRY_MS);
        }
        thread.schedule(() -> watch(zone), pause, TimeUnit.MILLISECONDS);
    }
}
