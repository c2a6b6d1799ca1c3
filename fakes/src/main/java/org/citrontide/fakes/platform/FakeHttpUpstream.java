package org.citrontide.fakes.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream that writes whatever bytes its script says, so that tests can send what no HTTP library would. Safe for
 * use by many threads.
 */
public final class FakeHttpUpstream implements AutoCloseable {
    private final ServerSocket socket;
    private final String id;
    private final Script script;
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    /** Answers requests. Implementations are safe for use by many threads. */
    @FunctionalInterface
    public interface Script {

        /**
         * Answers one request.
         *
         * @param request the request
         * @param reply where the answer goes
         * @throws IOException if the connection is to end
         * @throws InterruptedException if the upstream is closed
         */
        void answer(Received request, Reply reply) throws IOException, InterruptedException;
    }

    /**
     * A request as it arrived. Immutable.
     *
     * @param line its first line
     * @param headers header fields by name in lower case
     * @param body the body
     */
    public record Received(String line, Map<String, String> headers, String body) {

        /**
         * Reads a header.
         *
         * @param name name of the field in any case
         * @return its value, empty if it is absent
         */
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /**
     * Starts an upstream.
     *
     * @param id its identity
     * @param script what it answers
     * @throws IOException if no port can be bound
     */
    public FakeHttpUpstream(String id, Script script) throws IOException {
        this.id = id;
        this.script = script;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    /**
     * Returns the entry under which it registers itself.
     *
     * @param service name of its service
     * @param state {@code ready} or {@code draining}
     * @return JSON
     */
    public String entry(String service, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":4,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }

    /**
     * Returns its identity.
     *
     * @return the identity
     */
    public String id() {
        return id;
    }

    /**
     * Returns the requests so far.
     *
     * @return requests in order
     */
    public List<Received> received() {
        return received;
    }

    /**
     * Returns the connections that are open.
     *
     * @return count
     */
    public long openConnections() {
        return open.stream().filter(s -> !s.isClosed()).count();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket s : open) {
            s.close();
        }
    }

    /** Writes one answer. Confined to its connection's thread. */
    public final class Reply {
        private final Socket connection;
        private final OutputStream out;
        private final Received request;

        private Reply(Socket connection, Received request) throws IOException {
            this.connection = connection;
            this.out = connection.getOutputStream();
            this.request = request;
        }

        /**
         * Writes text as it is.
         *
         * @param text the bytes
         * @throws IOException if the caller has gone
         */
        public void raw(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /**
         * Writes the head of an answer that echoes the attempt and is stamped.
         *
         * @param status status line without the version
         * @param more further header lines, each ended
         * @throws IOException if the caller has gone
         */
        public void head(String status, String more) throws IOException {
            raw("HTTP/1.1 " + status + "\r\nCitrontide-Attempt-Id: " + request.header("Citrontide-Attempt-Id")
                    + "\r\nCitrontide-Response-Stamp: stamp-of-" + id + "\r\n" + more + "\r\n");
        }

        /**
         * Writes a whole answer.
         *
         * @param status status line without the version
         * @param body the body
         * @throws IOException if the caller has gone
         */
        public void whole(String status, String body) throws IOException {
            head(status, "Keep-Alive: timeout=5\r\nContent-Length: " + body.length() + "\r\n");
            raw(body);
        }

        /**
         * Writes a chunk of a stream.
         *
         * @param text its bytes
         * @throws IOException if the caller has gone
         */
        public void chunk(String text) throws IOException {
            raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /**
         * Ends the connection without ado.
         *
         * @throws IOException if it can't be ended
         */
        public void reset() throws IOException {
            connection.setSoLinger(true, 0);
            connection.close();
        }

        /**
         * Waits until the caller closes the connection.
         *
         * @throws IOException if it breaks otherwise
         */
        public void awaitClose() throws IOException {
            while (connection.getInputStream().read() >= 0) {
                // Bytes of a further request are of no interest.
            }
            connection.close();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                open.add(s);
                Thread.ofVirtual().start(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Received r = read(in);
                received.add(r);
                script.answer(r, new Reply(s, r));
            }
        } catch (IOException e) {
            // The connection ended, by the caller or by the script.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Received read(InputStream in) throws IOException {
        String line = line(in);
        Map<String, String> headers = new TreeMap<>();
        for (String h = line(in); !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Received(line, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection ended");
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }
}
