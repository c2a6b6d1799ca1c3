package org.citrontide.runtime.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

import org.citrontide.runtime.log.EventLog;

/**
 * A thread with one duty and a bounded ring of events in front of it.
 *
 * <p>Invariants: the handler runs on this thread alone; events are handled in the order of their arrival; a full ring
 * refuses the event at once. The thread sleeps while it has nothing to do. Safe for use by many threads.
 *
 * @param <E> type of the events
 */
public final class Duty<E> implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(Duty.class);
    private static final int BATCH = 256;
    private static final long JOIN_MILLIS = 2000;

    private final BlockingQueue<E> ring;
    private final Handler<E> handler;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Prepares the thread; {@link #start()} starts it.
     *
     * @param name name of the thread
     * @param capacity events that the ring holds
     * @param handler what the thread does
     */
    public Duty(String name, int capacity, Handler<E> handler) {
        this.ring = new ArrayBlockingQueue<>(capacity);
        this.handler = handler;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Hands an event over.
     *
     * @param event the event
     * @return false if the ring is full
     */
    public boolean offer(E event) {
        return ring.offer(event);
    }

    /**
     * Hands over an event that must not be lost, such as the end of an attempt. Waits for room.
     *
     * @param event the event
     * @throws IllegalStateException if the duty's own thread calls this while the ring is full
     */
    public void put(E event) {
        if (Thread.currentThread() == thread) {
            ring.add(event);
            return;
        }
        boolean interrupted = false;
        while (!closed) {
            try {
                ring.put(event);
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
     * Returns the events that wait.
     *
     * @return count
     */
    public int backlog() {
        return ring.size();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<E> batch = new ArrayList<>(BATCH);
        while (!closed) {
            try {
                await(batch);
                for (E e : batch) {
                    handler.handle(e);
                }
                handler.wake();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                LOG.error("duty-failed", e).with("duty", thread.getName()).write();
            }
            batch.clear();
        }
    }

    private void await(List<E> batch) throws InterruptedException {
        if (ring.drainTo(batch, BATCH) > 0) {
            return;
        }
        E first = ring.poll(Math.max(0, handler.nanosToNextWake()), TimeUnit.NANOSECONDS);
        if (first != null) {
            batch.add(first);
            ring.drainTo(batch, BATCH - 1);
        }
    }

    /**
     * What a duty does.
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

        /** Does what is due by now; called after each batch of events and when the time has come. */
        void wake();

        /**
         * Says when {@link #wake()} has something to do.
         *
         * @return time from now in ns
         */
        long nanosToNextWake();
    }
}
