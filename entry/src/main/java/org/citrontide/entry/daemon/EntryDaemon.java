package org.citrontide.entry.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.WatcherSelector;
import org.citrontide.runtime.admin.AdminServer;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.settings.ProcessSettings;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * An entry as a process.
 *
 * <p>Invariant: a planned stop first tells the balancer, then stops accepting, and ends once every open request has its
 * answer or the drain limit has passed. Safe for use by many threads.
 */
public final class EntryDaemon {
    private static final EventLog LOG = EventLog.of(EntryDaemon.class);
    private static final long POLL_MILLIS = 20;
    private static final int IDLE_TIMEOUT_MS = 30_000;
    private static final int OUTPUT_BUFFER_BYTES = 4096;

    private final EntrySettings settings;
    private final EntryParts parts;
    private final Server server;
    private final ServerConnector connector;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Builds the parts.
     *
     * @param settings the entry's settings
     * @param seed seed of all random choices
     */
    public EntryDaemon(EntrySettings settings, long seed) {
        this.settings = settings;
        this.parts = DaggerEntryParts.builder()
                .entryModule(new EntryModule(settings, seed))
                .build();
        QueuedThreadPool pool = new QueuedThreadPool(settings.httpThreads(), 2);
        pool.setName("http");
        this.server = new Server(pool);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setHeaderCacheSize(0);
        http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    }

    /**
     * Starts the entry.
     *
     * @throws IOException if an address can't be used
     */
    public void start() throws IOException {
        ProcessSettings p = settings.process();
        parts.dispatch().start(a -> parts.links().dial(a));
        parts.configuration().start();
        parts.links().listen(p.linkAddress());
        for (InetSocketAddress seed : p.seeds()) {
            parts.links().dial(seed);
        }
        new VmListWatcher(parts.store(), settings.zones(), parts.random(), this::listed).start();
        new AdminServer(p.adminAddress(), parts.registry(), this::isReady);
        connector.setHost(settings.callerAddress().getHostString());
        connector.setPort(settings.callerAddress().getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        connector.setReuseAddress(true);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(settings.maxConnections(), connector));
        server.setHandler(parts.handler());
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("can't serve on " + settings.callerAddress(), e);
        }
        LOG.info("started").with("caller-address", settings.callerAddress()).write();
    }

    /** Stops gracefully; returns when the process may exit. A second call waits for the first. */
    public void stop() {
        if (!stopping.compareAndSet(false, true)) {
            awaitStopped();
            return;
        }
        LOG.info("stopping").with("open", parts.dispatch().openRequests()).write();
        pause(settings.process().drainNotice().toMillis());
        connector.close();
        long end = System.nanoTime() + settings.process().drainLimit().toNanos();
        while (parts.dispatch().openRequests() > 0 && System.nanoTime() < end) {
            pause(POLL_MILLIS);
        }
        LOG.info("stopped").with("cut-off", parts.dispatch().openRequests()).write();
        stopped.countDown();
    }

    private boolean isReady() {
        return !stopping.get() && parts.configuration().inForce().version() > 0;
    }

    private void listed(Map<String, List<ListedVm>> byZone) {
        List<ListedVm> upstreams = new ArrayList<>();
        byZone.values()
                .forEach(l -> l.stream().filter(v -> !v.service().isEmpty()).forEach(upstreams::add));
        parts.dispatch().submit(new DispatchEvent.VmListChanged(upstreams));
        List<String> entries = byZone.getOrDefault(settings.process().zone(), List.of()).stream()
                .filter(v -> v.service().isEmpty() && !v.isLeaving())
                .map(ListedVm::vm)
                .toList();
        parts.configuration()
                .setWatcher(WatcherSelector.isWatcher(settings.process().vm(), entries));
    }

    private void awaitStopped() {
        try {
            stopped.await(settings.process().drainLimit().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
