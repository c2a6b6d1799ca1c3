package org.citrontide.wire.link;

import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;

/** Gets what happens on links. Called on the links' event loops; must not block. */
public interface LinkListener {

    /**
     * A link is authenticated.
     *
     * @param link the link
     */
    void linkUp(Link link);

    /**
     * A frame arrived.
     *
     * @param link the link
     * @param frame the frame
     */
    void received(Link link, Frame frame);

    /**
     * A link that was up has ended. No frame of it follows.
     *
     * @param link the link
     */
    void linkDown(Link link);

    /**
     * A connection was refused or broken off for a fault of the peer.
     *
     * @param address the peer's address
     * @param fault what was wrong
     */
    void rejected(String address, LinkFault fault);

    /**
     * Builds the next heartbeat.
     *
     * @return the heartbeat with the digest of the configuration in force
     */
    Heartbeat heartbeat();
}
