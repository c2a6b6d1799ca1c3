package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;

import org.citrontide.core.routes.Route;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against callers that return at the time they were told and are refused for good, or wait in vain. */
final class AdmissionQueueTest {
    private static final long MS = 1_000_000;
    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            List.of(new Route.Split("s", 1)),
            Route.RetrySafety.RESUMABLE,
            true,
            Duration.ofSeconds(8),
            Duration.ofMillis(400),
            Duration.ofMillis(120),
            3,
            0,
            false);

    private final AdmissionQueue queue = new AdmissionQueue(now -> 1);
    private long nextId = 1;

    private OpenGatewayRequest open(int rank, int waitedMs, int arrivedMs) {
        long deadline = (8000 + arrivedMs - waitedMs) * MS;
        Duration waited = Duration.ofMillis(waitedMs);
        return new OpenGatewayRequest(new GatewayRequest(
                nextId++, ROUTE, "s", "t", rank, 700, 140, List.of(), waited, arrivedMs * MS, deadline));
    }

    private void playOutage(int fromMs, int untilMs) {
        queue.recordGroupDown(fromMs * MS);
        queue.recordResponse((fromMs + 1) * MS, untilMs * MS);
    }

    @Test
    void aReturningCallerPrecedesNewLateRequests() {
        queue.recordGroupDown(0);
        OpenGatewayRequest urgent = open(0, 0, 100);
        OpenGatewayRequest returning = open(2, 3700, 90);
        assertTrue(queue.tryEnqueue(urgent, 100 * MS));
        assertTrue(queue.tryEnqueue(returning, 100 * MS));
        queue.recordResponse(1, 1000 * MS);
        assertEquals(List.of(returning), queue.pollSendable(1000 * MS));
    }

    @Test
    void aCallerIsNotKeptTwiceInAnOutageThatOutlastsItsSecondWait() {
        playOutage(0, 6000);
        queue.recordGroupDown(20_000 * MS);
        assertTrue(queue.tryEnqueue(open(0, 0, 20_100), 20_100 * MS), "a first wait");
        assertFalse(queue.tryEnqueue(open(0, 3700, 23_600), 23_600 * MS), "ends before 25.3 s");
        assertTrue(queue.tryEnqueue(open(0, 3700, 23_900), 23_900 * MS), "ends after 25.4 s");
    }

    @Test
    void withoutAnEarlierOutageEachCallerIsKept() {
        queue.recordGroupDown(20_000 * MS);
        assertTrue(queue.tryEnqueue(open(0, 3700, 21_000), 21_000 * MS));
        assertTrue(queue.promiseNanos(21_000 * MS).isEmpty());
    }

    @Test
    void promisedTimesAreSpreadBehindTheExpectedEnd() {
        playOutage(0, 5000);
        queue.recordGroupDown(20_000 * MS);
        long first = queue.promiseNanos(23_000 * MS).orElseThrow();
        long second = queue.promiseNanos(23_000 * MS).orElseThrow();
        assertEquals(25_500 * MS, first);
        assertEquals(200 * MS, second - first);
    }
}
