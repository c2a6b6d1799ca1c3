import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startNanos) / NANOS_PER_SECOND, text);
        out.flush();
    }

    /** Writes the last lines. */
    synchronized void end(String... lines) {
        for (String l : lines) {
            line(l);
        }
        out.close();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
