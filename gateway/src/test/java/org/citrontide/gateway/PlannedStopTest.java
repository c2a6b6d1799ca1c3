package org.citrontide.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.gateway.daemon.GatewayDaemon;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests planned stops of a complete gateway. */
final class PlannedStopTest extends GatewayHarness {
    private static final int EVENTS = 25;
    private static final int EVENT_GAP_MS = 100;
    // More than the socket buffers between the gateway and a caller hold.
    private static final int LARGE_RESPONSE_BYTES = 7 * 1024 * 1024;

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

    // Guards against requests that are accepted late in a planned stop and cut off when the process exits.
    @ParameterizedTest
    @ValueSource(strings = {"/stream/", "/book/"})
    void aRequestThatMayOutliveAPlannedStopIsRefusedAsNotRun(String target) throws Exception {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> {
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            for (int i = 1; i <= EVENTS; i++) {
                pause(EVENT_GAP_MS);
                reply.writeChunk("id: " + i + "\ndata: word\n\n");
            }
            reply.write("0\r\n\r\n");
        });
        int port = TestPorts.allocate();
        int admin = TestPorts.allocate();
        GatewayDaemon stopping =
                createGateway("vm2", port, admin, store, Optional.empty(), List.of(), Duration.ofMillis(5000));
        stopping.start();
        await("the second gateway is ready", () -> readinessStatus(admin) == 200);
        try (RawCaller first = new RawCaller(port);
                RawCaller late = new RawCaller(port)) {
            Thread stopper = Thread.ofVirtual().start(stopping::stop);
            pause(1000);
            first.sendRequest("POST", target, "id-first", "");
            pause(1800);
            late.sendRequest("POST", target, "id-late", "");
            RawCaller.Response response = late.readResponse();
            assertEquals(503, response.status());
            assertFalse(response.header("Retry-After").isEmpty());
            assertTrue(first.readResponse().isComplete());
            assertEquals(1, u.requests().size());
            stopper.join();
        }
    }

    // Guards against large responses that are cut off because a stop waits for requests, but not for writes.
    @ParameterizedTest
    @ValueSource(longs = {-200, 200})
    void aPlannedStopWaitsUntilResponsesAreWritten(long requestMsAfterSignal) throws Exception {
        String body = "x".repeat(LARGE_RESPONSE_BYTES);
        addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", body));
        try (RawCaller slow = RawCaller.withSmallReceiveBuffer(callerPort)) {
            if (requestMsAfterSignal < 0) {
                slow.sendRequest("POST", "/book/", "id-1", "");
                pause(-requestMsAfterSignal);
            }
            Thread stopper = Thread.ofVirtual().start(daemon::stop);
            if (requestMsAfterSignal > 0) {
                pause(requestMsAfterSignal);
                slow.sendRequest("POST", "/book/", "id-1", "");
            }
            pause(4200);
            assertTrue(stopper.isAlive(), "the stop ended before the response was written");
            RawCaller.Response response = slow.readResponse();
            assertTrue(response.isComplete());
            assertEquals(LARGE_RESPONSE_BYTES, response.body().length());
            long readNanos = System.nanoTime();
            stopper.join();
            long ms = Duration.ofNanos(System.nanoTime() - readNanos).toMillis();
            assertTrue(ms < 1000, "the stop lasted " + ms + " ms longer than the response");
        }
    }
}
