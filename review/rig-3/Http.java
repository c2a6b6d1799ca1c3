import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over blocking streams. */
final class Http {
    /** A request or response that was read completely. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads a head; returns null if the connection ended before it. */
    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        m.start = readLine(in);
        if (m.start == null) {
            return null;
        }
        for (String h = readLine(in); h != null && !h.isEmpty(); h = readLine(in)) {
            int colon = h.indexOf(':');
            m.headers.put(h.substring(0, colon), h.substring(colon + 1).trim());
        }
        return m;
    }

    /** Reads a message; returns null if the connection ended before it. */
    static Message read(InputStream in) throws IOException {
        Message m = readHead(in);
        if (m == null) {
            return null;
        }
        if (m.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                all.write(chunk);
            }
            m.body = all.toByteArray();
        } else if (!m.header("Content-Length").isEmpty()) {
            m.body = readBytes(in, Integer.parseInt(m.header("Content-Length")));
        }
        return m;
    }

    /** Reads a chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the connection ended within a body");
        }
        byte[] chunk = readBytes(in, Integer.parseInt(size.trim(), 16));
        readLine(in);
        return chunk;
    }

    static void reply(OutputStream out, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        write(
                out,
                "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                        + "\r\n\r\n" + body);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static byte[] readBytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
