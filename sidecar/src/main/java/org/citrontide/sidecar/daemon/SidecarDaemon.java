package org.citrontide.sidecar.daemon;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.runtime.admin.AdminServer;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * The process of a sidecar.
 *
 * <p>Invariant: a graceful stop refuses new attempts immediately as not run, and ends once no attempt holds a slot or
 * the drain limit has passed. Thread-safe.
 */
public final class SidecarDaemon {
    private static final EventLog LOG = EventLog.of(SidecarDaemon.class);
    private static final long FINAL_FRAMES_DELAY_MILLIS = 200;

    private final SidecarSettings settings;
    private final SidecarComponent component;
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Creates the sidecar; {@link #start()} starts it.
     *
     * @param settings settings of the sidecar
     * @param seed seed of all random choices
     */
    public SidecarDaemon(SidecarSettings settings, long seed) {
        this.settings = settings;
        this.component = DaggerSidecarComponent.builder()
                .sidecarModule(new SidecarModule(settings, seed))
                .build();
    }

    /**
     * Starts the sidecar.
     *
     * @throws IOException if the sidecar can't listen on one of its addresses
     */
    public void start() throws IOException {
        ProcessSettings process = settings.process();
        component.gate().start();
        component.configuration().start();
        component.links().listen(process.linkAddress());
        process.seeds().forEach(component.links()::dial);
        new AdminServer(process.adminAddress(), component.registry(), this::isReady);
        LOG.info("started")
                .with("service", settings.service())
                .with("link-address", process.linkAddress())
                .write();
    }

    /** Stops the sidecar gracefully and returns when the process may exit. */
    public void stop() {
        stopping.set(true);
        LOG.info("stopping").write();
        boolean isDrained = component.gate().drain(settings.process().drainLimit());
        try {
            Thread.sleep(FINAL_FRAMES_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        component.links().close();
        LOG.info("stopped").with("drained", isDrained).write();
    }

    private boolean isReady() {
        return !stopping.get() && component.configuration().inForce().services().containsKey(settings.service());
    }
}
