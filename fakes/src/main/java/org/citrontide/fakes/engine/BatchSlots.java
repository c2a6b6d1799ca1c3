package org.citrontide.fakes.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The places in an engine's batch, given out by priority and then by arrival. Safe for use by many threads.
 *
 * <p>Invariant: at most the set number of places are taken.
 */
final class BatchSlots {
    private final PriorityQueue<Ticket> waiting =
            new PriorityQueue<>(Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::number));
    private int free;
    private long next;

    BatchSlots(int places) {
        free = places;
    }

    synchronized void acquire(int priority) throws InterruptedException {
        Ticket t = new Ticket(priority, next++);
        waiting.add(t);
        try {
            while (free == 0 || waiting.peek() != t) {
                wait();
            }
        } catch (InterruptedException e) {
            waiting.remove(t);
            throw e;
        }
        waiting.poll();
        free--;
        notifyAll();
    }

    synchronized void release() {
        free++;
        notifyAll();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    private record Ticket(int priority, long number) {}
}
