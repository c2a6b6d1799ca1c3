package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A worker that announces how long it keeps idle connections. It closes them then, or drops them without notice before:
 * nothing tells the other side, and what is sent next on such a connection is reset.
 */
final class DroppingWorker implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int KEEP_ALIVE_S = 2;
    private static final int MILLIS = 1000;

    /** Connections that were dropped without notice. */
    static final AtomicInteger DROPPED = new AtomicInteger();

    private final ServerSocket server;
    private final String id;
    private final int workMs;
    private final boolean dropsIdle;
    private final int dropAfterMs;
    private final Consumer<String> runs;

    DroppingWorker(String id, int workMs, boolean dropsIdle, int dropAfterMs, Consumer<String> runs) throws IOException {
        this.id = id;
        this.workMs = workMs;
        this.dropsIdle = dropsIdle;
        this.dropAfterMs = dropAfterMs;
        this.runs = runs;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String entry(String service, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }

    String id() {
        return id;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(s));
            } catch (IOException e) {
                // The worker is closed, or has no descriptor left.
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream(), 1024);
            while (true) {
                s.setSoTimeout(dropsIdle ? dropAfterMs : KEEP_ALIVE_S * MILLIS);
                in.mark(1);
                try {
                    if (in.read() < 0) {
                        return;
                    }
                } catch (SocketTimeoutException e) {
                    if (dropsIdle) {
                        drop(s);
                    }
                    return;
                }
                in.reset();
                s.setSoTimeout(0);
                String attempt = readRequest(in);
                runs.accept(attempt);
                Thread.sleep(workMs);
                OutputStream out = s.getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: " + attempt + "\r\nCitrontide-Response-Stamp: of-" + id
                                + "\r\nKeep-Alive: timeout=" + KEEP_ALIVE_S + "\r\nContent-Length: 4\r\n\r\ndone")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The caller closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Says nothing any more on a connection, and resets it once anything arrives. */
    private static void drop(Socket s) throws IOException {
        DROPPED.incrementAndGet();
        s.setSoTimeout(0);
        if (s.getInputStream().read() >= 0) {
            s.setSoLinger(true, 0);
        }
    }

    /** Reads a request; returns its attempt id. */
    private static String readRequest(InputStream in) throws IOException {
        String attempt = "";
        int length = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("citrontide-attempt-id:")) {
                attempt = line.substring(line.indexOf(':') + 1).trim();
            } else if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        in.skipNBytes(length);
        return attempt;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("closed");
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }
}
