package org.citrontide.gateway.daemon;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.core.gateway.StopSchedule;
import org.citrontide.runtime.log.EventLog;

/**
 * A gateway process: accepts callers' requests and forwards them to upstreams over HTTP.
 *
 * <p>Invariant: a graceful shutdown first reports not ready and keeps serving, as {@link StopSchedule} permits, until
 * the load balancer has noticed, then closes idle connections of callers, so that they open others elsewhere, refuses
 * new requests, and ends once the response to every request is written or the time limit has passed. Thread-safe.
 */
public final class GatewayDaemon implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(GatewayDaemon.class);
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final GatewaySettings settings;
    private final GatewayComponent component;
    private final AtomicBoolean isStopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates a gateway that has not started.
     *
     * @param settings settings of the gateway
     * @param seed seed of all random number generators
     * @param startNanos monotonic time in ns at which the process started
     */
    public GatewayDaemon(GatewaySettings settings, long seed, long startNanos) {
        this.settings = settings;
        this.component = DaggerGatewayComponent.builder()
                .gatewayModule(new GatewayModule(settings, seed, startNanos, this::isReady))
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
        component.eventLoops().next().execute(() -> component.loopLagMonitor().start());
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
        StopSchedule schedule = new StopSchedule(System.nanoTime(), settings.stopLimit());
        component.eventLoops().next().execute(() -> component.shell().startStop(schedule));
        LOG.info("stopping").with("open", component.shell().openRequests()).write();
        while (!schedule.isNoticeOver(System.nanoTime())) {
            pause();
        }
        component.eventLoops().next().execute(() -> {
            component.callerServer().closeIdleConnections();
            component.controlPlane().stop();
        });
        while (!schedule.isLimitReached(System.nanoTime())
                && (component.shell().openRequests() > 0
                        || component.callerServer().unwrittenResponses() > 0
                        || component.controlPlane().isHolding())) {
            pause();
        }
        component.eventLoops().next().execute(() -> component.callerServer().closeIdleConnections());
        pause();
        LOG.info("stopped")
                .with("cut-off", component.shell().openRequests())
                .with("unwritten", component.callerServer().unwrittenResponses())
                .write();
        stopped.countDown();
    }

    /** Ends all servers, connections and timers at once, whatever is open, and returns before they have ended. */
    @Override
    public void close() {
        component.eventLoops().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
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
