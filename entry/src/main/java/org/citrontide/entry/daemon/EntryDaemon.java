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
 * The process of an entry.
 *
 * <p>Invariant: a graceful stop first reports the entry as not ready to the load balancer, then stops accepting
 * connections, and ends once every open request has its final answer or the drain limit has passed. Thread-safe.
 */
public final class EntryDaemon {
    private static final EventLog LOG = EventLog.of(EntryDaemon.class);
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final int IDLE_TIMEOUT_MS = 30_000;
    private static final int OUTPUT_BUFFER_BYTES = 4096;

    private final EntrySettings settings;
    private final EntryComponent component;
    private final Server server;
    private final ServerConnector connector;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates the entry; {@link #start()} starts it.
     *
     * @param settings settings of the entry
     * @param seed seed of all random choices
     */
    public EntryDaemon(EntrySettings settings, long seed) {
        this.settings = settings;
        this.component = DaggerEntryComponent.builder()
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
     * @throws IOException if the entry can't listen on one of its addresses
     */
    public void start() throws IOException {
        ProcessSettings process = settings.process();
        component.dispatch().start(a -> component.links().dial(a));
        component.configuration().start();
        component.links().listen(process.linkAddress());
        for (InetSocketAddress seed : process.seeds()) {
            component.links().dial(seed);
        }
        new VmListWatcher(component.store(), settings.zones(), component.random(), this::handleVmLists).start();
        new AdminServer(process.adminAddress(), component.registry(), this::isReady);
        connector.setHost(settings.callerAddress().getHostString());
        connector.setPort(settings.callerAddress().getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        connector.setReuseAddress(true);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(settings.maxConnections(), connector));
        server.setHandler(component.handler());
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("can't accept callers' requests on " + settings.callerAddress(), e);
        }
        LOG.info("started").with("caller-address", settings.callerAddress()).write();
    }

    /** Stops the entry gracefully and returns when the process may exit. A second call waits for the first. */
    public void stop() {
        if (!stopping.compareAndSet(false, true)) {
            awaitStopped();
            return;
        }
        LOG.info("stopping").with("open", component.dispatch().openRequests()).write();
        sleep(settings.process().drainNotice().toMillis());
        connector.close();
        long endNanos = System.nanoTime() + settings.process().drainLimit().toNanos();
        while (component.dispatch().openRequests() > 0 && System.nanoTime() < endNanos) {
            sleep(DRAIN_POLL_MILLIS);
        }
        LOG.info("stopped").with("cut-off", component.dispatch().openRequests()).write();
        stopped.countDown();
    }

    private boolean isReady() {
        return !stopping.get() && component.configuration().inForce().version() > 0;
    }

    private void handleVmLists(Map<String, List<ListedVm>> byZone) {
        List<ListedVm> upstreams = new ArrayList<>();
        byZone.values()
                .forEach(l -> l.stream().filter(v -> !v.service().isEmpty()).forEach(upstreams::add));
        component.dispatch().submit(new DispatchEvent.VmListChanged(upstreams));
        List<String> entryVms = byZone.getOrDefault(settings.process().zone(), List.of()).stream()
                .filter(v -> v.service().isEmpty() && !v.isLeaving())
                .map(ListedVm::vm)
                .toList();
        component
                .configuration()
                .setWatcher(WatcherSelector.isWatcher(settings.process().vm(), entryVms));
    }

    private void awaitStopped() {
        try {
            stopped.await(settings.process().drainLimit().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
