package org.citrontide.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller that writes bytes as they are and reads whole answers. Confined to its test's thread. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;

    private final Socket socket;
    private final InputStream in;

    /** An answer: its head, its body, and whether it came whole. */
    record Answer(String head, String body, boolean isWhole) {
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
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(TIMEOUT_MS);
        in = socket.getInputStream();
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request with the usual headers. */
    void request(String method, String target, String id, String body) throws IOException {
        write(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: " + id
                + "\r\nCitrontide-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    Answer read() throws IOException {
        String head = head();
        if (head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            return chunked(head);
        }
        int length = Integer.parseInt(new Answer(head, "", true).header("content-length"));
        byte[] body = in.readNBytes(length);
        return new Answer(head, new String(body, StandardCharsets.UTF_8), body.length == length);
    }

    /** Reads until the connection ends. */
    String readToEnd() throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private Answer chunked(String head) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = line();
            if (size.isEmpty()) {
                return new Answer(head, body.toString(), false);
            }
            int n = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(n);
            body.append(new String(chunk, StandardCharsets.UTF_8));
            line();
            if (n == 0) {
                return new Answer(head, body.toString(), true);
            }
        }
    }

    private String head() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String l = line(); !l.isEmpty(); l = line()) {
            head.append(l).append("\r\n");
        }
        return head.toString();
    }

    private String line() throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                b.write(c);
            }
        }
        return b.toString(StandardCharsets.UTF_8);
    }
}
