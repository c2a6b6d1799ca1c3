package org.citrontide.fakes.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A loopback proxy for TCP that can hold up all bytes towards its target, like a cut path: it neither accepts nor
 * reads, so that what exceeds its small receive buffers stays at the sender. What these buffers accepted is delivered
 * once the path opens, even if the sender has reset the connection since. It can also silence its open connections for
 * good, without a reset. Thread-safe.
 */
public final class HoldingProxy implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int RECEIVE_BUFFER = 2 * 1024;
    private static final int CHUNK = 512;

    private final ServerSocket socket;
    private final InetSocketAddress target;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();
    private boolean held;

    /**
     * Starts a proxy on a free port, with an open path.
     *
     * @param targetPort loopback port to forward to
     * @throws IOException if no port can be bound
     */
    public HoldingProxy(int targetPort) throws IOException {
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        socket = new ServerSocket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        Thread.ofVirtual().start(this::accept);
    }

    /**
     * Returns the port of this proxy.
     *
     * @return TCP port on the loopback interface
     */
    public int port() {
        return socket.getLocalPort();
    }

    /**
     * Cuts or opens the path towards the target.
     *
     * @param isHeld whether bytes are held up
     */
    public synchronized void setHeld(boolean isHeld) {
        held = isHeld;
        notifyAll();
    }

    /** Drops all further bytes in both directions on the connections that are open now, while new ones work. */
    public void silence() {
        silenced.addAll(connections);
    }

    @Override
    public void close() throws IOException {
        setHeld(false);
        socket.close();
        for (Socket s : connections) {
            s.close();
        }
    }

    private synchronized void awaitOpen() throws InterruptedException {
        while (held) {
            wait();
        }
    }

    private void accept() {
        try {
            while (!socket.isClosed()) {
                awaitOpen();
                Socket in = socket.accept();
                connections.add(in);
                Thread.ofVirtual().start(() -> connect(in));
            }
        } catch (IOException e) {
            // The proxy was closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connect(Socket in) {
        try {
            Socket out = new Socket(target.getAddress(), target.getPort());
            connections.add(out);
            Thread.ofVirtual().start(() -> forward(out, in, false));
            forward(in, out, true);
        } catch (IOException e) {
            closeSocket(in);
        }
    }

    private void forward(Socket from, Socket to, boolean isTowardsTarget) {
        byte[] chunk = new byte[CHUNK];
        try (from;
                to) {
            while (true) {
                if (isTowardsTarget) {
                    awaitOpen();
                }
                int length = from.getInputStream().read(chunk);
                if (length < 0) {
                    return;
                }
                if (isTowardsTarget) {
                    awaitOpen();
                }
                if (!silenced.contains(from)) {
                    to.getOutputStream().write(chunk, 0, length);
                }
            }
        } catch (IOException e) {
            // One side closed the connection; the other one is closed as well.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeSocket(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
