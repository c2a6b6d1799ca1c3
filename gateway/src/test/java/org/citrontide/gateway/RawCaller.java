package org.citrontide.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller that writes arbitrary bytes and reads complete responses. Confined to the thread of its test. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int SMALL_RECEIVE_BUFFER = 8 * 1024;

    private final Socket socket;
    private final InputStream in;

    /** A response: its head, its body, and whether it was received completely. */
    record Response(String head, String body, boolean isComplete) {
        int status() {
            return Integer.parseInt(head.split(" ", 3)[1]);
        }

        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }
    }

    RawCaller(int port) throws IOException {
        this(port, new Socket());
    }

    private RawCaller(int port, Socket unconnected) throws IOException {
        socket = unconnected;
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(TIMEOUT_MS);
        in = socket.getInputStream();
    }

    /** Connects a caller whose small receive buffer leaves large responses to the gateway until they are read. */
    static RawCaller withSmallReceiveBuffer(int port) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
        return new RawCaller(port, socket);
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request with the usual headers. */
    void sendRequest(String method, String target, String id, String body) throws IOException {
        write(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: " + id
                + "\r\nCitrontide-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    Response readResponse() throws IOException {
        String head = readHead();
        if (head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            return readChunked(head);
        }
        int length = Integer.parseInt(new Response(head, "", true).header("content-length"));
        byte[] body = in.readNBytes(length);
        return new Response(head, new String(body, StandardCharsets.UTF_8), body.length == length);
    }

    /** Reads until the connection is closed. */
    String readToEnd() throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private Response readChunked(String head) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = readLine();
            if (size.isEmpty()) {
                return new Response(head, body.toString(), false);
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            body.append(new String(chunk, StandardCharsets.UTF_8));
            readLine();
            if (length == 0) {
                return new Response(head, body.toString(), true);
            }
        }
    }

    private String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            head.append(line).append("\r\n");
        }
        return head.toString();
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                buffer.write(c);
            }
        }
        return buffer.toString(StandardCharsets.UTF_8);
    }
}
