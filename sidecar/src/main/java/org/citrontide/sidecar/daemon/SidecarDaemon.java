package org.citrontide.sidecar.daemon;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.runtime.admin.AdminServer;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.settings.ProcessSettings;

/**
 * A sidecar as a process.
 *
 * <p>Invariant: a planned stop refuses new work at once as not run, and ends once nothing runs or the drain limit has
 * passed. Safe for use by many threads.
 */
public final class SidecarDaemon {
    private static final EventLog LOG = EventLog.of(SidecarDaemon.class);
    private static final long LAST_FRAMES_MILLIS = 200;

    private final SidecarSettings settings;
    private final SidecarParts parts;
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Builds the parts.
     *
     * @param settings the sidecar's settings
     * @param seed seed of all random choices
     */
    public SidecarDaemon(SidecarSettings settings, long seed) {
        this.settings = settings;
        this.parts = DaggerSidecarParts.builder()
                .sidecarModule(new SidecarModule(settings, seed))
                .build();
    }

    /**
     * Starts the sidecar.
     *
     * @throws IOException if an address can't be used
     */
    public void start() throws IOException {
        ProcessSettings p = settings.process();
        parts.gate().start();
        parts.configuration().start();
        parts.links().listen(p.linkAddress());
        p.seeds().forEach(parts.links()::dial);
        new AdminServer(p.adminAddress(), parts.registry(), this::isReady);
        LOG.info("started")
                .with("service", settings.service())
                .with("link-address", p.linkAddress())
                .write();
    }

    /** Stops gracefully; returns when the process may exit. */
    public void stop() {
        stopping.set(true);
        LOG.info("stopping").write();
        boolean whole = parts.gate().drain(settings.process().drainLimit());
        try {
            Thread.sleep(LAST_FRAMES_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        parts.links().close();
        LOG.info("stopped").with("drained", whole).write();
    }

    private boolean isReady() {
        return !stopping.get() && parts.configuration().inForce().services().containsKey(settings.service());
    }
}
