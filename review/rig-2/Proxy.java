package review2;

import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP proxy whose open connections can fall silent without a reset, while new ones work. */
final class Proxy implements AutoCloseable {
    private final ServerSocket server;
    private final int target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private final class Link {
        final Socket a;
        final Socket b;
        volatile boolean silent;
        private final AtomicInteger ended = new AtomicInteger();

        Link(Socket a, Socket b) {
            this.a = a;
            this.b = b;
        }

        void pump(Socket from, Socket to) {
            byte[] buffer = new byte[64 * 1024];
            try {
                for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, n);
                    }
                }
                if (!silent) {
                    to.shutdownOutput();
                    if (ended.incrementAndGet() == 2) {
                        close();
                    }
                }
            } catch (IOException e) {
                if (!silent) {
                    close();
                }
            }
        }

        void close() {
            links.remove(this);
            for (Socket s : List.of(a, b)) {
                try {
                    s.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
        }
    }

    Proxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns the number of open connections. */
    int open() {
        return links.size();
    }

    /** Nothing passes any more on the connections that are open now. */
    int silence() {
        links.forEach(l -> l.silent = true);
        return links.size();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket a = server.accept();
                Socket b = new Socket("127.0.0.1", target);
                a.setTcpNoDelay(true);
                b.setTcpNoDelay(true);
                Link l = new Link(a, b);
                links.add(l);
                Thread.ofVirtual().start(() -> l.pump(a, b));
                Thread.ofVirtual().start(() -> l.pump(b, a));
            } catch (IOException e) {
                // The target is gone, or the proxy is closed.
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        links.forEach(Link::close);
    }
}
