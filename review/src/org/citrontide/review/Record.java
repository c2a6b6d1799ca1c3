package org.citrontide.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start of the script. Thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void result(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public void close() {
        out.close();
    }
}
