package org.citrontide.gateway.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.runtime.log.EventLog;

/**
 * A gateway as a process: takes callers' requests and sends them to upstreams over HTTP.
 *
 * <p>Invariant: a planned stop first turns readiness off, goes on serving until the balancer has seen it, then refuses
 * what still comes, and ends once every open request has its answer or the limit has passed. Safe for use by many
 * threads.
 */
public final class GatewayDaemon {
    private static final EventLog LOG = EventLog.of(GatewayDaemon.class);
    private static final long POLL_MILLIS = 20;
    // The balancer asks once a second and needs two misses.
    private static final Duration BALANCER_NOTICE = Duration.ofMillis(3200);

    private final GatewaySettings settings;
    private final GatewayParts parts;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Builds the parts.
     *
     * @param settings the gateway's settings
     * @param seed seed of all random choices
     */
    public GatewayDaemon(GatewaySettings settings, long seed) {
        this.settings = settings;
        this.parts = DaggerGatewayParts.builder()
                .gatewayModule(new GatewayModule(settings, seed, this::isReady))
                .build();
    }

    /**
     * Starts the gateway.
     *
     * @throws IOException if an address can't be used
     */
    public void start() throws IOException {
        parts.adminServer().listen(settings.adminAddress());
        if (settings.peerAddress().isPresent()) {
            parts.peerServer().listen(settings.peerAddress().get());
        }
        parts.callerServer().listen(settings.callerAddress());
        parts.loop().next().execute(() -> parts.controlPlane().start());
        LOG.info("started")
                .with("caller-address", settings.callerAddress())
                .with("store-address", settings.storeAddress())
                .write();
    }

    /** Stops gracefully; returns when the process may exit. A second call waits for the first. */
    public void stop() {
        if (!stopping.compareAndSet(false, true)) {
            awaitStopped();
            return;
        }
        long end = System.nanoTime() + settings.stopLimit().toNanos();
        long notice = System.nanoTime() + BALANCER_NOTICE.toNanos();
        parts.loop().next().execute(() -> parts.shell().setStopping());
        LOG.info("stopping").with("open", parts.shell().openRequests()).write();
        while (System.nanoTime() < notice) {
            pause();
        }
        parts.loop().next().execute(() -> {
            parts.shell().refuseNewRequests();
            parts.controlPlane().stop();
        });
        while (System.nanoTime() < end
                && (parts.shell().openRequests() > 0 || parts.controlPlane().isHolding())) {
            pause();
        }
        parts.loop().next().execute(() -> parts.callerServer().closeIdleConnections());
        pause();
        LOG.info("stopped").with("cut-off", parts.shell().openRequests()).write();
        stopped.countDown();
    }

    private boolean isReady() {
        return !stopping.get()
                && parts.shell().table().version() > 0
                && parts.controlPlane().isLoaded();
    }

    private void awaitStopped() {
        try {
            stopped.await(settings.stopLimit().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
