package org.citrontide.core.faults;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * An event loop in virtual time. Messages on one channel are delivered in order; all other events run by due time.
 */
public final class EventLoop {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1000 * MILLI;

    private record Event(long dueNanos, long number, Runnable task) {}

    final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::number));
    private final Map<String, Long> lastDueByChannel = new HashMap<>();
    private long now;
    private long nextNumber;

    EventLoop(long seed) {
        random = new SplittableRandom(seed);
    }

    long now() {
        return now;
    }

    long epochMillis() {
        return 1_700_000_000_000L + now / MILLI;
    }

    void schedule(long nanos, Runnable task) {
        events.add(new Event(now + nanos, nextNumber++, task));
    }

    /** Delivers a message after a random delay of up to 2 ms, in order with the other messages of its channel. */
    void send(String channel, Runnable task) {
        long dueNanos = Math.max(now + random.nextLong(2 * MILLI), lastDueByChannel.getOrDefault(channel, 0L));
        lastDueByChannel.put(channel, dueNanos);
        events.add(new Event(dueNanos, nextNumber++, task));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().dueNanos() <= end) {
            Event e = events.poll();
            now = Math.max(now, e.dueNanos());
            e.task().run();
        }
        now = end;
    }
}
