package org.citrontide.wire.link;

import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;

/** Receives the events of links. Called on the event loops of the links; implementations must not block. */
public interface LinkListener {

    /**
     * Called when a link has been authenticated.
     *
     * @param link the new link
     */
    void linkUp(Link link);

    /**
     * Called when a frame arrives.
     *
     * @param link the link that the frame arrived on
     * @param frame the received frame
     */
    void frameReceived(Link link, Frame frame);

    /**
     * Called when an authenticated link has closed. No frame of the link follows.
     *
     * @param link the closed link
     */
    void linkDown(Link link);

    /**
     * Called when a connection is rejected or closed because of a fault of the peer.
     *
     * @param address remote address of the connection
     * @param fault the reason
     */
    void connectionRejected(String address, LinkFault fault);

    /**
     * Builds the next heartbeat.
     *
     * @return the heartbeat with the digest of the configuration in force
     */
    Heartbeat buildHeartbeat();
}
