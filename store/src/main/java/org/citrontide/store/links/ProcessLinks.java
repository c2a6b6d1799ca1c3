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
 * Hands what happens on the links of a process to its configuration and to its role. Safe for use by many threads.
 */
public final class ProcessLinks implements LinkListener {
    private static final int LOG_LINES_PER_SECOND = 10;
    private static final EventLog LOG = EventLog.of(ProcessLinks.class);

    private final LogRateLimiter logBudget = new LogRateLimiter(LOG_LINES_PER_SECOND);
    private final ConfigurationService configuration;
    private final RoleLinks role;

    /**
     * Joins the two.
     *
     * @param configuration takes heartbeats and configurations
     * @param role takes all other frames
     */
    public ProcessLinks(ConfigurationService configuration, RoleLinks role) {
        this.configuration = configuration;
        this.role = role;
    }

    @Override
    public void linkUp(Link link) {
        LOG.info("link-up")
                .with("peer", link.peer().getVm())
                .with("peer-role", link.peer().getRole())
                .with("address", link.remoteAddress())
                .write();
        configuration.linkUp(link);
        role.linkUp(link);
    }

    @Override
    public void frameReceived(Link link, Frame frame) {
        if (!configuration.handleFrame(link, frame)) {
            role.frameReceived(link, frame);
        }
    }

    @Override
    public void linkDown(Link link) {
        LOG.info("link-down")
                .with("peer", link.peer().getVm())
                .with("address", link.remoteAddress())
                .write();
        configuration.linkDown(link);
        role.linkDown(link);
    }

    @Override
    public void connectionRejected(String address, LinkFault fault) {
        if (!logBudget.tryAcquire(System.nanoTime())) {
            return;
        }
        LOG.warn("link-rejected")
                .with("address", address)
                .with("fault", fault.key())
                .with("suppressed", logBudget.getAndResetSuppressed())
                .write();
    }

    @Override
    public Heartbeat buildHeartbeat() {
        return configuration.buildHeartbeat();
    }

    /** What a role does with its links. Called on event loops; must not block. */
    public interface RoleLinks {

        /**
         * A link is up.
         *
         * @param link the link
         */
        void linkUp(Link link);

        /**
         * A frame arrived that does not concern the configuration.
         *
         * @param link the link
         * @param frame the frame
         */
        void frameReceived(Link link, Frame frame);

        /**
         * A link has ended.
         *
         * @param link the link
         */
        void linkDown(Link link);
    }
}
