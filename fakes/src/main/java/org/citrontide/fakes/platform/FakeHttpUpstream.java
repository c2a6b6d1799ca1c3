package org.citrontide.fakes.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A fake upstream that writes the exact bytes that its script specifies, so that tests can send responses that an HTTP
 * library would not produce. Thread-safe.
 */
public final class FakeHttpUpstream implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int SMALL_RECEIVE_BUFFER = 8 * 1024;

    private final ServerSocket socket;
    private final String id;
    private final Script script;
    private final boolean isReadingBodies;
    private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** Answers requests. Implementations are thread-safe. */
    @FunctionalInterface
    public interface Script {

        /**
         * Answers one request.
         *
         * @param request the request
         * @param reply writer of the response
         * @throws IOException to close the connection
         * @throws InterruptedException if the thread is interrupted
         */
        void answer(ReceivedRequest request, Reply reply) throws IOException, InterruptedException;
    }

    /**
     * A request that was received. Immutable.
     *
     * @param requestLine request line
     * @param headers header fields by lowercase name
     * @param body request body
     */
    public record ReceivedRequest(String requestLine, Map<String, String> headers, String body) {

        /**
         * Returns the value of a header field.
         *
         * @param name case-insensitive name of the field
         * @return the value, empty if the field is absent
         */
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /**
     * Starts an upstream on a free port.
     *
     * @param id identity of the upstream
     * @param script script that answers the requests
     * @throws IOException if no port can be bound
     */
    public FakeHttpUpstream(String id, Script script) throws IOException {
        this(id, script, true, new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()));
    }

    private FakeHttpUpstream(String id, Script script, boolean isReadingBodies, ServerSocket socket) {
        this.id = id;
        this.script = script;
        this.isReadingBodies = isReadingBodies;
        this.socket = socket;
        Thread.ofVirtual().start(this::accept);
    }

    /**
     * Starts an upstream whose script is called once the head of a request is received, so that it can respond before
     * it reads the body by {@link Reply#readBody}. Its small receive buffer keeps a large body at the sender.
     *
     * @param id identity of the upstream
     * @param script script that answers the requests, whose bodies are empty
     * @return the upstream
     * @throws IOException if no port can be bound
     */
    public static FakeHttpUpstream respondingBeforeBody(String id, Script script) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        return new FakeHttpUpstream(id, script, false, socket);
    }

    /**
     * Returns the store entry with which this upstream registers itself.
     *
     * @param service name of the service
     * @param state {@code ready} or {@code draining}
     * @return JSON document
     */
    public String entry(String service, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":4,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }

    /**
     * Returns the identity of this upstream.
     *
     * @return the identity
     */
    public String id() {
        return id;
    }

    /**
     * Returns the requests received so far.
     *
     * @return live view of the requests in order of arrival
     */
    public List<ReceivedRequest> requests() {
        return requests;
    }

    /**
     * Returns the number of open connections.
     *
     * @return number of connections that this upstream has not closed
     */
    public long openConnections() {
        return connections.stream().filter(s -> !s.isClosed()).count();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket s : connections) {
            s.close();
        }
    }

    /** Writes one response. Confined to the thread of its connection. */
    public final class Reply {
        private final Socket connection;
        private final OutputStream out;
        private final InputStream in;
        private final ReceivedRequest request;

        private Reply(Socket connection, InputStream in, ReceivedRequest request) throws IOException {
            this.connection = connection;
            this.in = in;
            this.out = connection.getOutputStream();
            this.request = request;
        }

        /**
         * Writes text without any framing.
         *
         * @param text the text
         * @throws IOException if the caller has closed the connection
         */
        public void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /**
         * Writes a response head that echoes the attempt identifier and has a response stamp.
         *
         * @param status status code and reason phrase
         * @param extraHeaders additional header lines, each terminated by CRLF
         * @throws IOException if the caller has closed the connection
         */
        public void writeHead(String status, String extraHeaders) throws IOException {
            write("HTTP/1.1 " + status + "\r\nCitrontide-Attempt-Id: " + request.header("Citrontide-Attempt-Id")
                    + "\r\nCitrontide-Response-Stamp: stamp-of-" + id + "\r\n" + extraHeaders + "\r\n");
        }

        /**
         * Writes a complete response.
         *
         * @param status status code and reason phrase
         * @param body response body in ASCII
         * @throws IOException if the caller has closed the connection
         */
        public void writeResponse(String status, String body) throws IOException {
            writeHead(status, "Keep-Alive: timeout=5\r\nContent-Length: " + body.length() + "\r\n");
            write(body);
        }

        /**
         * Writes one chunk of a chunked response.
         *
         * @param text content of the chunk in ASCII
         * @throws IOException if the caller has closed the connection
         */
        public void writeChunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /**
         * Reads bytes of a request body that was not read before.
         *
         * @param bytes number of bytes to read
         * @throws IOException if the connection breaks
         */
        public void readBody(int bytes) throws IOException {
            in.skipNBytes(bytes);
        }

        /**
         * Ends the output, which the caller reads as an orderly end of the connection, whatever is still unread.
         *
         * @throws IOException if the connection breaks
         */
        public void endOutput() throws IOException {
            connection.shutdownOutput();
        }

        /**
         * Resets the connection.
         *
         * @throws IOException if the connection can't be closed
         */
        public void reset() throws IOException {
            connection.setSoLinger(true, 0);
            connection.close();
        }

        /**
         * Waits until the caller closes the connection.
         *
         * @throws IOException if the connection breaks
         */
        public void awaitClose() throws IOException {
            while (connection.getInputStream().read() >= 0) {
                // Discards the bytes of further requests.
            }
            connection.close();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                // Otherwise a write soon after another one is held back until that is acknowledged.
                s.setTcpNoDelay(true);
                connections.add(s);
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
                ReceivedRequest r = readRequest(in);
                requests.add(r);
                script.answer(r, new Reply(s, in, r));
            }
        } catch (IOException e) {
            // The caller or the script closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ReceivedRequest readRequest(InputStream in) throws IOException {
        String requestLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String h = readLine(in); !h.isEmpty(); h = readLine(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = isReadingBodies ? in.readNBytes(length) : new byte[0];
        return new ReceivedRequest(requestLine, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("connection closed while reading a request");
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }
}
