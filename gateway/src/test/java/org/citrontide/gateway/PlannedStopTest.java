package org.citrontide.gateway;

import java.time.Duration;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests planned stops of a complete gateway. */
final class PlannedStopTest extends GatewayHarness {
    @Test
    void aPlannedStopTurnsReadinessOffFirstAndCompletesOpenRequests() throws Exception {
        addUpstream("a", (r, reply) -> {
            pause(1500);
            reply.writeResponse("200 OK", "late but whole");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/book/", "id-1", "");
            pause(100);
            Thread stopper = Thread.ofVirtual().start(daemon::stop);
            await("readiness is off", () -> readinessStatus() == 503);
            try (RawCaller late = new RawCaller(callerPort)) {
                late.sendRequest("POST", "/book/", "id-2", "");
                RawCaller.Response response = c.readResponse();
                assertEquals("late but whole", response.body());
                assertEquals("close", response.header("Connection"));
                assertEquals("late but whole", late.readResponse().body());
            }
            stopper.join();
        }
    }

    @Test
    void idleConnectionsAreClosedWhenRequestsAreRefusedNotAtTheEndOfAPlannedStop() throws Exception {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> {
            pause(r.requestLine().contains("long") ? 6000 : 0);
            reply.writeResponse("200 OK", "ran");
        });
        try (RawCaller busy = new RawCaller(callerPort);
                RawCaller idle = new RawCaller(callerPort)) {
            busy.write("POST /book/long HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: id-1\r\n"
                    + "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n");
            await("the request arrives", () -> u.requests().size() == 1);
            assertEquals(200, requestStatus(idle, "/look/"));
            long stopNanos = System.nanoTime();
            Thread stopper = Thread.ofVirtual().start(daemon::stop);
            assertEquals("", idle.readToEnd());
            long ms = Duration.ofNanos(System.nanoTime() - stopNanos).toMillis();
            assertTrue(ms > 3000 && ms < 3700, "closed after " + ms + " ms");
            stopper.join();
        }
    }

    @Test
    void aRequestLateInAPlannedStopIsRefusedAsNotRun() throws Exception {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> {
            pause(5000);
            reply.writeResponse("200 OK", "long work");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("POST /book/ HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: id-1\r\n"
                    + "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n");
            await("the request arrives", () -> u.requests().size() == 1);
            Thread stopper = Thread.ofVirtual().start(daemon::stop);
            pause(3600);
            try (RawCaller late = new RawCaller(callerPort)) {
                late.sendRequest("POST", "/book/", "id-2", "");
                RawCaller.Response refusal = late.readResponse();
                assertEquals(503, refusal.status());
                assertFalse(refusal.header("Retry-After").isEmpty());
            }
            assertEquals(1, u.requests().size());
            stopper.join();
        }
    }
}
