package org.citrontide.runtime.eventloop;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the failure of one event affects no other. */
final class EventLoopTest {
    private static final int EVENTS = 100;
    private static final long AWAIT_SECONDS = 10;

    @Test
    void failureOfOneEventDiscardsNoOtherEventOfItsBatch() {
        List<Integer> handled = new CopyOnWriteArrayList<>();
        EventLoop<Integer> loop = new EventLoop<>("test-loop", EVENTS, new EventLoop.Handler<>() {
            @Override
            public void handle(Integer event) {
                if (event % 10 == 3) {
                    throw new IllegalStateException("event " + event);
                }
                handled.add(event);
            }

            @Override
            public void runDueTasks() {}

            @Override
            public long nanosToNextTask() {
                return TimeUnit.SECONDS.toNanos(1);
            }
        });
        for (int i = 0; i < EVENTS; i++) {
            assertTrue(loop.offer(i));
        }
        loop.start();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (handled.size() < EVENTS - EVENTS / 10 && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        loop.close();
        assertEquals(EVENTS - EVENTS / 10, handled.size());
    }
}
