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
 * Writes log lines to standard output on a dedicated thread, which reads from a bounded queue.
 *
 * <p>Invariant: {@link #publish} never blocks on the output. Lines that arrive while the queue is full are dropped, and
 * their number is logged with the next line. Thread-safe.
 */
final class AsyncLogHandler extends Handler {
    private static final int QUEUE_CAPACITY = 4096;
    private static final long FLUSH_TIMEOUT_MS = 500;
    private static final long POLL_MS = 5;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out));
    private volatile boolean isWriting;

    AsyncLogHandler(Formatter formatter) {
        setFormatter(formatter);
        setLevel(Level.ALL);
        Thread.ofPlatform().daemon().name("log").start(this::writeLoop);
    }

    @Override
    public void publish(LogRecord r) {
        if (!queue.offer(r)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
        while ((!queue.isEmpty() || isWriting) && System.nanoTime() < deadline) {
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

    private void writeLoop() {
        try {
            while (true) {
                LogRecord r = queue.take();
                isWriting = true;
                write(r);
                if (queue.isEmpty()) {
                    out.flush();
                    isWriting = false;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Standard output is closed, so the failure can't be logged. The process keeps serving without a log.
            isWriting = false;
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
