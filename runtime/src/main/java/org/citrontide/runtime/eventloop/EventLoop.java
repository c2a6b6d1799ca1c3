package org.citrontide.runtime.eventloop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

import org.citrontide.runtime.log.EventLog;

/**
 * Event loop: a thread that handles events from a bounded queue.
 *
 * <p>Invariants: the handler runs on this thread only; events are handled in FIFO order; {@link #offer} rejects an
 * event immediately if the queue is full. The thread blocks while no event is queued and no task is due. Thread-safe.
 *
 * @param <E> type of the events
 */
public final class EventLoop<E> implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(EventLoop.class);
    private static final int MAX_BATCH_SIZE = 256;
    private static final long JOIN_TIMEOUT_MS = 2000;

    private final BlockingQueue<E> queue;
    private final Handler<E> handler;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Creates the event loop; {@link #start()} starts its thread.
     *
     * @param name name of the thread
     * @param capacity maximum number of queued events
     * @param handler handler of the events and due tasks
     */
    public EventLoop(String name, int capacity, Handler<E> handler) {
        this.queue = new ArrayBlockingQueue<>(capacity);
        this.handler = handler;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread of this event loop. May be called only once. */
    public void start() {
        thread.start();
    }

    /**
     * Adds an event to the queue without blocking.
     *
     * @param event the event
     * @return false if the queue is full and the event was rejected
     */
    public boolean offer(E event) {
        return queue.offer(event);
    }

    /**
     * Adds an event that must not be lost while this event loop is open, such as the end of an attempt; blocks while
     * the queue is full. An event given after {@link #close()} is dropped silently. A caller that is already blocked at
     * the close may stay blocked until it is interrupted; then its event is dropped, too.
     *
     * @param event the event
     * @throws IllegalStateException if the thread of this event loop calls this while the queue is full
     */
    public void put(E event) {
        if (Thread.currentThread() == thread) {
            queue.add(event);
            return;
        }
        boolean interrupted = false;
        while (!closed) {
            try {
                queue.put(event);
                break;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the number of queued events.
     *
     * @return number of events
     */
    public int backlog() {
        return queue.size();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<E> batch = new ArrayList<>(MAX_BATCH_SIZE);
        while (!closed) {
            try {
                awaitBatch(batch);
            } catch (InterruptedException e) {
                return;
            }
            for (E e : batch) {
                runGuarded(() -> handler.handle(e));
            }
            runGuarded(handler::runDueTasks);
            batch.clear();
        }
    }

    /** Runs a part of a batch, so that its failure doesn't discard the rest. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("event-loop-failed", e)
                    .with("event-loop", thread.getName())
                    .write();
        }
    }

    private void awaitBatch(List<E> batch) throws InterruptedException {
        if (queue.drainTo(batch, MAX_BATCH_SIZE) > 0) {
            return;
        }
        E first = queue.poll(Math.max(0, handler.nanosToNextTask()), TimeUnit.NANOSECONDS);
        if (first != null) {
            batch.add(first);
            queue.drainTo(batch, MAX_BATCH_SIZE - 1);
        }
    }

    /**
     * Handles the events and the due tasks of an event loop. All methods run on the thread of the event loop.
     *
     * @param <E> type of the events
     */
    public interface Handler<E> {

        /**
         * Handles one event.
         *
         * @param event the event
         */
        void handle(E event);

        /** Runs the due tasks. Called after each batch of events and when {@link #nanosToNextTask()} has passed. */
        void runDueTasks();

        /**
         * Returns the time until {@link #runDueTasks()} has a task to run.
         *
         * @return time in ns from now; zero or less if a task is due
         */
        long nanosToNextTask();
    }
}
