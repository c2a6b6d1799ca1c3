package org.citrontide.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of a client: one connection, one request at a time. Confined to one thread. */
final class Caller implements AutoCloseable {
    static final String HOST = "shop.example";
    static final String KEY = "key-of-tenant-one";

    /** How an answer ended. */
    enum End {
        COMPLETE,
        CUT,
        NONE
    }

    /** An answer; the body is what had arrived. */
    record Answer(int status, Map<String, String> headers, byte[] body, End end, String why) {
        boolean isStamped() {
            return headers.containsKey("citrontide-response-stamp");
        }

        String text() {
            return end + " status " + status + " bytes " + body.length + (why.isEmpty() ? "" : " (" + why + ")");
        }
    }

    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private int pauseEveryBytes;
    private long pauseMs;
    private int sentPieceBytes;
    private long sentPauseMs;

    Caller(int port, int timeoutMs) throws IOException {
        this(port, timeoutMs, 0);
    }

    /** Connects with a receive buffer of this size, if it is not 0. */
    Caller(int port, int timeoutMs, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
        out = socket.getOutputStream();
    }

    /** Makes this client read its answers with a pause after so many bytes. */
    Caller readSlowly(int everyBytes, long ms) {
        pauseEveryBytes = everyBytes;
        pauseMs = ms;
        return this;
    }

    void send(String method, String path, String id, long deadlineMs, byte[] body, String extra) throws IOException {
        send(method, path, id, deadlineMs, body, extra, KEY);
    }

    void send(String method, String path, String id, long deadlineMs, byte[] body, String extra, String key)
            throws IOException {
        String length = method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nCitrontide-Attempt-Id: " + id
                + "\r\nCitrontide-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n" + length
                + extra + "\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        writeBody(body);
        out.flush();
    }

    /** Makes this client send its bodies in pieces of this size with a pause after each. */
    Caller sendSlowly(int pieceBytes, long ms) {
        sentPieceBytes = pieceBytes;
        sentPauseMs = ms;
        return this;
    }

    private void writeBody(byte[] body) throws IOException {
        int piece = sentPieceBytes > 0 ? sentPieceBytes : Math.max(1, body.length);
        for (int at = 0; at < body.length; at += piece) {
            out.write(body, at, Math.min(piece, body.length - at));
            if (sentPauseMs > 0) {
                World.sleep(sentPauseMs);
            }
        }
    }

    Answer read() {
        Map<String, String> headers = new TreeMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            status = Integer.parseInt(Lines.read(in).split(" ")[1]);
            for (String h = Lines.read(in); !h.isEmpty(); h = Lines.read(in)) {
                int colon = h.indexOf(':');
                headers.put(
                        h.substring(0, colon).toLowerCase(Locale.ROOT),
                        h.substring(colon + 1).trim());
            }
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                readChunks(body);
            } else if (headers.containsKey("content-length")) {
                readExactly(Long.parseLong(headers.get("content-length")), body);
            } else {
                in.transferTo(body);
            }
            return new Answer(status, headers, body.toByteArray(), End.COMPLETE, "");
        } catch (IOException e) {
            End end = status == 0 ? End.NONE : End.CUT;
            return new Answer(status, headers, body.toByteArray(), end, String.valueOf(e.getMessage()));
        }
    }

    private void readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            long size = Long.parseLong(Lines.read(in), 16);
            if (size == 0) {
                Lines.read(in);
                return;
            }
            readExactly(size, body);
            Lines.read(in);
        }
    }

    private void readExactly(long size, ByteArrayOutputStream body) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        long left = size;
        long untilPause = pauseEveryBytes;
        while (left > 0) {
            int n = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (n < 0) {
                throw new IOException("closed " + left + " bytes early");
            }
            body.write(buffer, 0, n);
            left -= n;
            untilPause -= n;
            if (pauseMs > 0 && untilPause <= 0) {
                World.sleep(pauseMs);
                untilPause = pauseEveryBytes;
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
