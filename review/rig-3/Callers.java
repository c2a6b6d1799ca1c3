import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that ask for streams one after the other while they are told to. Thread-safe. */
final class Callers {
    private static final int MAX_GAP_MS = 2000;
    private static final int PAUSE_MS = 20;
    private static final int PAUSE_AFTER_FAILURE_MS = 300;

    private final int port;
    private final String path;
    private final Record record;
    private final AtomicInteger number = new AtomicInteger();
    private volatile boolean isAsking;

    /** Prepares callers of a gateway that listens on the given port. */
    Callers(int port, String path, Record record) {
        this.port = port;
        this.path = path;
        this.record = record;
    }

    void start(int count) {
        for (int i = 0; i < count; i++) {
            Thread.ofVirtual().start(this::run);
        }
    }

    void setAsking(boolean asking) {
        isAsking = asking;
    }

    private void run() {
        while (true) {
            if (!isAsking) {
                Rig.sleep(PAUSE_MS);
            } else if (!ask("c" + number.incrementAndGet())) {
                Rig.sleep(PAUSE_AFTER_FAILURE_MS);
            }
        }
    }

    /** Asks for one stream; gives up after a gap of two seconds, as callers do. */
    private boolean ask(String id) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(MAX_GAP_MS);
            Http.write(
                    s.getOutputStream(),
                    "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: " + id
                            + "\r\nCitrontide-Deadline-Ms: 8000\r\nCitrontide-Model: m\r\n"
                            + "Citrontide-Token-Count: 700,60\r\nContent-Length: 0\r\n\r\n");
            Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
            record.line("request " + id + " sent, answered " + (m == null ? "by a close" : m.status()));
            return m != null && m.status() == 200;
        } catch (IOException e) {
            record.line("request " + id + " sent, not answered to its end: " + e.getMessage());
            return false;
        }
    }
}
