package org.citrontide.store.links;

import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;
import org.citrontide.store.configuration.ConfigurationService;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;
import org.citrontide.wire.link.Link;
import org.citrontide.wire.link.LinkFault;
import org.citrontide.wire.link.LinkListener;

/**
 * Forwards the events of the links of a process to its configuration service and to its role. Thread-safe.
 */
public final class ProcessLinkListener implements LinkListener {
    private static final int LOG_LINES_PER_SECOND = 10;
    private static final EventLog LOG = EventLog.of(ProcessLinkListener.class);

    private final LogRateLimiter logRateLimiter = new LogRateLimiter(LOG_LINES_PER_SECOND);
    private final ConfigurationService configuration;
    private final RoleLinkListener roleListener;

    /**
     * Creates a listener.
     *
     * @param configuration handles heartbeats and configuration frames
     * @param roleListener handles all other frames
     */
    public ProcessLinkListener(ConfigurationService configuration, RoleLinkListener roleListener) {
        this.configuration = configuration;
        this.roleListener = roleListener;
    }

    @Override
    public void linkUp(Link link) {
        LOG.info("link-up")
                .with("peer", link.peer().getVm())
                .with("peer-role", link.peer().getRole())
                .with("address", link.remoteAddress())
                .write();
        configuration.linkUp(link);
        roleListener.linkUp(link);
    }

    @Override
    public void frameReceived(Link link, Frame frame) {
        if (!configuration.handleFrame(link, frame)) {
            roleListener.frameReceived(link, frame);
        }
    }

    @Override
    public void linkDown(Link link) {
        LOG.info("link-down")
                .with("peer", link.peer().getVm())
                .with("address", link.remoteAddress())
                .write();
        configuration.linkDown(link);
        roleListener.linkDown(link);
    }

    @Override
    public void connectionRejected(String address, LinkFault fault) {
        if (!logRateLimiter.tryAcquire(System.nanoTime())) {
            return;
        }
        LOG.warn("link-rejected")
                .with("address", address)
                .with("fault", fault.key())
                .with("suppressed", logRateLimiter.getAndResetSuppressed())
                .write();
    }

    @Override
    public Heartbeat buildHeartbeat() {
        return configuration.buildHeartbeat();
    }

    /** Receives the link events of a role. Called on event loops; implementations must not block. */
    public interface RoleLinkListener {

        /**
         * Called when a link has been authenticated.
         *
         * @param link the new link
         */
        void linkUp(Link link);

        /**
         * Called when a frame arrives that does not concern the configuration.
         *
         * @param link the link that the frame arrived on
         * @param frame the received frame
         */
        void frameReceived(Link link, Frame frame);

        /**
         * Called when a link has closed.
         *
         * @param link the closed link
         */
        void linkDown(Link link);
    }
}
