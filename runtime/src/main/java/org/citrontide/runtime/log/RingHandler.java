package org.citrontide.runtime.log;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines to standard output on a thread of its own, joined to all others by a bounded ring.
 *
 * <p>Invariant: no caller waits for the output; lines that find the ring full are counted and the count is written.
 * Safe for use by many threads.
 */
final class RingHandler extends Handler {
    private static final int RING_SIZE = 4096;
    private static final long FLUSH_WAIT_MS = 500;
    private static final long POLL_MS = 5;

    private final BlockingQueue<LogRecord> ring = new ArrayBlockingQueue<>(RING_SIZE);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out));
    private volatile boolean writing;

    RingHandler(Formatter formatter) {
        setFormatter(formatter);
        setLevel(Level.ALL);
        Thread.ofPlatform().daemon().name("log").start(this::writeAll);
    }

    @Override
    public void publish(LogRecord r) {
        if (!ring.offer(r)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_WAIT_MS);
        while ((!ring.isEmpty() || writing) && System.nanoTime() < end) {
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        flush();
    }

    private void writeAll() {
        try {
            while (true) {
                LogRecord r = ring.take();
                writing = true;
                write(r);
                if (ring.isEmpty()) {
                    out.flush();
                    writing = false;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Standard output is gone: there is nowhere to say so, and the process goes on serving.
            writing = false;
        }
    }

    private void write(LogRecord r) throws IOException {
        out.write(getFormatter().format(r).getBytes(StandardCharsets.UTF_8));
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            LogRecord notice = new LogRecord(Level.WARNING, "event=log-lines-dropped count=" + lost);
            out.write(getFormatter().format(notice).getBytes(StandardCharsets.UTF_8));
        }
    }
}
