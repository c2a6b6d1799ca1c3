package org.citrontide.fakes.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A semaphore for the slots in the batch of an engine, acquired in the order of priority and then of arrival.
 *
 * <p>Invariant: the number of acquired slots never exceeds the size of the batch. Thread-safe.
 */
final class BatchSlots {
    private final PriorityQueue<Ticket> waiting =
            new PriorityQueue<>(Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::number));
    private int freeSlots;
    private long nextNumber;

    BatchSlots(int slots) {
        freeSlots = slots;
    }

    synchronized void acquire(int priority) throws InterruptedException {
        Ticket t = new Ticket(priority, nextNumber++);
        waiting.add(t);
        try {
            while (freeSlots == 0 || waiting.peek() != t) {
                wait();
            }
        } catch (InterruptedException e) {
            waiting.remove(t);
            throw e;
        }
        waiting.poll();
        freeSlots--;
        notifyAll();
    }

    synchronized void release() {
        freeSlots++;
        notifyAll();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    private record Ticket(int priority, long number) {}
}
