package org.citrontide.gateway.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.runtime.log.EventLog;

/**
 * A gateway process: accepts callers' requests and forwards them to upstreams over HTTP.
 *
 * <p>Invariant: a graceful shutdown first reports not ready and keeps serving until the load balancer has noticed,
 * then closes idle connections of callers, so that they open others elsewhere, refuses new requests, and ends once
 * every request in flight has its response or the time limit has passed. Thread-safe.
 */
public final class GatewayDaemon {
    private static final EventLog LOG = EventLog.of(GatewayDaemon.class);
    private static final long POLL_INTERVAL_MILLIS = 20;
    // The load balancer checks readiness once a second and stops sending requests after two failed checks.
    private static final Duration DRAIN_NOTICE = Duration.ofMillis(3200);

    private final GatewaySettings settings;
    private final GatewayComponent component;
    private final AtomicBoolean isStopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates a gateway that has not started.
     *
     * @param settings settings of the gateway
     * @param seed seed of all random number generators
     */
    public GatewayDaemon(GatewaySettings settings, long seed) {
        this.settings = settings;
        this.component = DaggerGatewayComponent.builder()
                .gatewayModule(new GatewayModule(settings, seed, this::isReady))
                .build();
    }

    /**
     * Starts the servers and the control plane.
     *
     * @throws IOException if a server can't listen on its address
     */
    public void start() throws IOException {
        component.adminServer().listen(settings.adminAddress());
        if (settings.peerAddress().isPresent()) {
            component.peerServer().listen(settings.peerAddress().get());
        }
        component.callerServer().listen(settings.callerAddress());
        component.eventLoops().next().execute(() -> component.controlPlane().start());
        LOG.info("started")
                .with("caller-address", settings.callerAddress())
                .with("store-address", settings.storeAddress())
                .write();
    }

    /**
     * Shuts down gracefully and returns when the process may exit. A second call waits for the first one, up to the
     * time limit.
     */
    public void stop() {
        if (!isStopping.compareAndSet(false, true)) {
            awaitStopped();
            return;
        }
        long stopDeadlineNanos = System.nanoTime() + settings.stopLimit().toNanos();
        long noticeEndNanos = System.nanoTime() + DRAIN_NOTICE.toNanos();
        component.eventLoops().next().execute(() -> component.shell().setStopping());
        LOG.info("stopping").with("open", component.shell().openRequests()).write();
        while (System.nanoTime() < noticeEndNanos) {
            pause();
        }
        component.eventLoops().next().execute(() -> {
            component.callerServer().closeIdleConnections();
            component.shell().refuseNewRequests();
            component.controlPlane().stop();
        });
        while (System.nanoTime() < stopDeadlineNanos
                && (component.shell().openRequests() > 0
                        || component.controlPlane().isHolding())) {
            pause();
        }
        component.eventLoops().next().execute(() -> component.callerServer().closeIdleConnections());
        pause();
        LOG.info("stopped").with("cut-off", component.shell().openRequests()).write();
        stopped.countDown();
    }

    private boolean isReady() {
        return !isStopping.get()
                && component.shell().table().version() > 0
                && component.controlPlane().isLoaded();
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
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
