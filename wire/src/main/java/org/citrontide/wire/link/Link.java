package org.citrontide.wire.link;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.ProcessIdentity;

/**
 * One authenticated connection to another process. Safe for use by many threads.
 *
 * <p>Invariant: the identifier is never used twice in a process.
 */
public final class Link {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final long id = NEXT_ID.getAndIncrement();
    private final Channel channel;
    private final ProcessIdentity peer;
    private final boolean dialled;

    Link(Channel channel, ProcessIdentity peer, boolean dialled) {
        this.channel = channel;
        this.peer = peer;
        this.dialled = dialled;
    }

    /**
     * Returns the identifier of this connection.
     *
     * @return a number unique in this process
     */
    public long id() {
        return id;
    }

    /**
     * Returns who is at the other end.
     *
     * @return the peer's own word, proved by the shared key
     */
    public ProcessIdentity peer() {
        return peer;
    }

    /**
     * Says which side made the connection.
     *
     * @return true if this process did
     */
    public boolean isDialled() {
        return dialled;
    }

    /**
     * Returns the address of the other end.
     *
     * @return for a dialled link the address that was dialled
     */
    public InetSocketAddress remote() {
        return (InetSocketAddress) channel.remoteAddress();
    }

    /**
     * Sends a frame.
     *
     * @param frame the frame
     */
    public void send(Frame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /**
     * Sends a frame and tells whether it went out. A frame that did not go out whole was certainly not received.
     *
     * @param frame the frame
     * @param sent gets true once the operating system has the whole frame, false if it never will
     */
    public void send(Frame frame, Consumer<Boolean> sent) {
        channel.writeAndFlush(frame).addListener(f -> sent.accept(f.isSuccess()));
    }

    /**
     * Says whether frames leave without piling up here.
     *
     * @return false while too many bytes wait to be sent
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }
}
