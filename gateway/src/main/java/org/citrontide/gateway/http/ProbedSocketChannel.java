package org.citrontide.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection that can be probed for input right before it is used again.
 *
 * <p>The event loop reads a connection only in its next turn, so bytes or an end that arrived during a pause of the
 * process would otherwise be noticed after the next request was written. Owned by the event loop.
 */
public final class ProbedSocketChannel extends NioSocketChannel {
    private static final int PROBE_BYTES = 1024;

    /** Creates a channel that is not connected. */
    public ProbedSocketChannel() {
        // Opens a socket of the default provider.
    }

    /**
     * Reads from the socket without waiting. Bytes that are read are lost, so the channel must be closed then.
     *
     * @return 0 if nothing arrived, a number of bytes that arrived, or -1 if the connection has ended or is broken
     */
    public int probe() {
        try {
            return javaChannel().read(ByteBuffer.allocate(PROBE_BYTES));
        } catch (IOException e) {
            return -1;
        }
    }
}
