package org.citrontide.core.faults;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time and the messages on their way. Channels keep their order; everything else may overtake. */
public final class EventLoop {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1000 * MILLI;

    private record Event(long due, long number, Runnable run) {}

    final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::due).thenComparingLong(Event::number));
    private final Map<String, Long> lastDue = new HashMap<>();
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

    void after(long nanos, Runnable run) {
        events.add(new Event(now + nanos, nextNumber++, run));
    }

    /** Sends a message with a random delay of up to 2 ms, in order on its channel. */
    void send(String channel, Runnable run) {
        long due = Math.max(now + random.nextLong(2 * MILLI), lastDue.getOrDefault(channel, 0L));
        lastDue.put(channel, due);
        events.add(new Event(due, nextNumber++, run));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().due() <= end) {
            Event e = events.poll();
            now = Math.max(now, e.due());
            e.run().run();
        }
        now = end;
    }
}
