package org.citrontide.review;

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
 * A stand-in of a worker. It checks Citrontide-Expect-Instance, echoes the id of each request and lets a script write
 * the answer. Thread-safe.
 */
final class Worker implements AutoCloseable {
    /** Writes the answer to one request. */
    interface Script {
        void answer(Call call) throws IOException, InterruptedException;
    }

    /** One request on one connection; the body is read by the script. */
    static final class Call {
        final String line;
        final Map<String, String> headers;
        final Socket socket;
        private final InputStream in;
        private long unread;

        private Call(String line, Map<String, String> headers, Socket socket, InputStream in) {
            this.line = line;
            this.headers = headers;
            this.socket = socket;
            this.in = in;
            this.unread = Long.parseLong(headers.getOrDefault("content-length", "0"));
        }

        String id() {
            return headers.getOrDefault("citrontide-attempt-id", "");
        }

        /** Reads at most so many bytes of the body; returns how many are still to come. */
        long readBody(long bytes) throws IOException {
            byte[] buffer = new byte[8192];
            long left = Math.min(bytes, unread);
            while (left > 0) {
                int n = in.read(buffer, 0, (int) Math.min(buffer.length, left));
                if (n < 0) {
                    throw new IOException("closed by the caller");
                }
                left -= n;
                unread -= n;
            }
            return unread;
        }

        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        /** Writes a head with the id and a stamp; extra lines end with CRLF. */
        void head(String status, String extra) throws IOException {
            write("HTTP/1.1 " + status + "\r\nCitrontide-Attempt-Id: " + id()
                    + "\r\nCitrontide-Response-Stamp: 3e1b.07." + id() + "\r\n" + extra + "\r\n");
        }

        /** Reads the rest of the request and writes a complete answer with its length. */
        void complete(String body) throws IOException {
            readBody(Long.MAX_VALUE);
            head("200 OK", "Keep-Alive: timeout=30\r\nContent-Length: " + body.length() + "\r\n");
            write(body);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final String id;
    final String service;
    private final ServerSocket listener;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final long bornMs = System.currentTimeMillis();
    private volatile String state = "ready";
    private long sequence;

    Worker(String id, String service, int receiveBuffer, Script script) throws IOException {
        this.id = id;
        this.service = service;
        this.script = script;
        this.listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the worker's entry in the store. */
    synchronized String entry() {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + bornMs + "}";
    }

    /** Reports draining from now on; the worker goes on serving. */
    void drain() {
        state = "draining";
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                sockets.add(s);
                Thread.ofVirtual().start(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream(), 1024);
            while (!s.isClosed()) {
                String line = Lines.read(in);
                Map<String, String> headers = new TreeMap<>();
                for (String h = Lines.read(in); !h.isEmpty(); h = Lines.read(in)) {
                    int colon = h.indexOf(':');
                    headers.put(
                            h.substring(0, colon).toLowerCase(Locale.ROOT),
                            h.substring(colon + 1).trim());
                }
                Call call = new Call(line, headers, s, in);
                String expected = headers.getOrDefault("citrontide-expect-instance", id);
                if (!expected.equals(id)) {
                    call.readBody(Long.MAX_VALUE);
                    call.write("HTTP/1.1 421 Misdirected Request\r\nCitrontide-Attempt-Id: " + call.id()
                            + "\r\nCitrontide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (call.line.startsWith("GET /-/")) {
                    answerControl(call);
                    continue;
                }
                script.answer(call);
            }
        } catch (IOException e) {
            // The connection was closed by the gateway or by the script.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(s);
        }
    }

    private static void answerControl(Call call) throws IOException {
        boolean isReport = call.line.startsWith("GET /-/report ");
        String body = isReport
                ? "{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
                        + "\"kv_used\":0,\"kv_total\":90000,\"handles\":0}"
                : "";
        call.write("HTTP/1.1 " + (isReport ? "200 OK" : "404 Not Found")
                + "\r\nContent-Type: application/json\r\nKeep-Alive: timeout=30\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
