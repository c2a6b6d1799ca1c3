package org.citrontide.wire.link;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.ProcessIdentity;

/**
 * An authenticated connection to another process. Thread-safe.
 *
 * <p>Invariant: no two links of a process have the same identifier.
 */
public final class Link {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final long id = NEXT_ID.getAndIncrement();
    private final Channel channel;
    private final ProcessIdentity peer;
    private final boolean outbound;

    Link(Channel channel, ProcessIdentity peer, boolean outbound) {
        this.channel = channel;
        this.peer = peer;
        this.outbound = outbound;
    }

    /**
     * Returns the identifier of this link.
     *
     * @return a number that is unique within this process
     */
    public long id() {
        return id;
    }

    /**
     * Returns the identity of the peer.
     *
     * @return the identity that the peer sent and authenticated with the shared key
     */
    public ProcessIdentity peer() {
        return peer;
    }

    /**
     * Returns whether this process initiated the connection.
     *
     * @return true for an outbound connection, false for an accepted one
     */
    public boolean isOutbound() {
        return outbound;
    }

    /**
     * Returns the remote address of the connection.
     *
     * @return the remote address; for an outbound link, the address passed to {@link LinkEndpoint#dial}
     */
    public InetSocketAddress remoteAddress() {
        return (InetSocketAddress) channel.remoteAddress();
    }

    /**
     * Sends a frame without reporting the outcome.
     *
     * @param frame the frame to send
     */
    public void send(Frame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /**
     * Sends a frame and reports whether it was written. A frame that was not written completely has not been received
     * by the peer.
     *
     * @param frame the frame to send
     * @param sent receives true once the whole frame is written to the socket, false if the write failed
     */
    public void send(Frame frame, Consumer<Boolean> sent) {
        channel.writeAndFlush(frame).addListener(f -> sent.accept(f.isSuccess()));
    }

    /**
     * Returns whether the connection accepts frames without buffering more than the high-water mark.
     *
     * @return false from when the outbound buffer exceeds the high-water mark until it falls below the low-water mark
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }
}
