package org.citrontide.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests over sockets that arrive at a gateway before its first configuration. */
final class StartupTest extends GatewayHarness {
    private static final String COUNTER = "citrontide_gateway_startup_requests_total";
    // More than half of the memory for waiting requests, and less than the largest body.
    private static final int LARGE_BODY_BYTES = 3 * 1024 * 1024;
    // Well below the shortest time that a request waits.
    private static final long IMMEDIATE_MS = 500;

    // Guards against requests that are refused while the first configuration is about to be read.
    @Test
    void aRequestSentBeforeTheConfigurationIsAnsweredOnceItIsInForce() throws IOException {
        FakeHttpUpstream u = newUpstream();
        try (RawCaller c = new RawCaller(callerPort)) {
            send(c, "/look/x", "key-1", "");
            pause(100);
            publish(u);
            RawCaller.Response response = c.readResponse();
            assertEquals(200, response.status());
            assertEquals("hello", response.body());
            int remainingMs = Integer.parseInt(u.requests().getFirst().header("Citrontide-Deadline-Ms"));
            assertTrue(remainingMs <= 4000 - 100, remainingMs + " ms left of a timeout that began with the arrival");
        }
        assertEquals(1, u.requests().size());
        assertTrue(metrics().contains(COUNTER + "{outcome=\"released\"} 1.0"), metrics());
    }

    // Guards against requests that run without the check of their key and route.
    @Test
    void requestsAreCheckedAgainstTheConfigurationBeforeTheyRun() throws IOException {
        FakeHttpUpstream u = newUpstream();
        try (RawCaller wrongKey = new RawCaller(callerPort);
                RawCaller unknownRoute = new RawCaller(callerPort);
                RawCaller largeBody = new RawCaller(callerPort)) {
            send(wrongKey, "/look/x", "wrong", "");
            send(unknownRoute, "/nowhere/", "key-1", "");
            // The configuration allows 64 KB.
            send(largeBody, "/look/x", "key-1", "x".repeat(100_000));
            pause(100);
            publish(u);
            assertEquals(401, wrongKey.readResponse().status());
            assertEquals(404, unknownRoute.readResponse().status());
            assertEquals(413, largeBody.readResponse().status());
        }
        assertEquals(0, u.requests().size());
    }

    // Guards against a gateway without a configuration that runs out of memory.
    @Test
    void aRequestBeyondTheBoundsIsRefusedImmediately() throws IOException {
        try (RawCaller first = new RawCaller(callerPort);
                RawCaller second = new RawCaller(callerPort)) {
            String body = "x".repeat(LARGE_BODY_BYTES);
            send(first, "/look/x", "key-1", body);
            pause(500);
            long startNanos = System.nanoTime();
            send(second, "/look/x", "key-1", body);
            RawCaller.Response refusal = second.readResponse();
            assertTrue(elapsedMs(startNanos) < IMMEDIATE_MS, elapsedMs(startNanos) + " ms");
            assertNotReady(refusal);
            assertNotReady(first.readResponse());
        }
    }

    // Guards against requests that are kept for longer than their callers wait.
    @Test
    void aRequestIsRefusedOnceItHasWaitedForItsMaximumTime() throws IOException {
        try (RawCaller c = new RawCaller(callerPort)) {
            long startNanos = System.nanoTime();
            send(c, "/look/x", "key-1", "");
            assertNotReady(c.readResponse());
            assertTrue(elapsedMs(startNanos) >= 1400 && elapsedMs(startNanos) < 2000, elapsedMs(startNanos) + " ms");
        }
    }

    // Guards against work for callers that have left.
    @Test
    void aRequestWhoseCallerLeftIsNotRun() throws IOException {
        FakeHttpUpstream u = newUpstream();
        try (RawCaller c = new RawCaller(callerPort)) {
            send(c, "/look/x", "key-1", "");
            pause(100);
        }
        await("the request is dropped", () -> metrics().contains(COUNTER + "{outcome=\"caller-gone\"} 1.0"));
        publish(u);
        await("the gateway is ready", () -> readinessStatus() == 200);
        pause(200);
        assertEquals(0, u.requests().size());
    }

    // Guards against a stop that leaves callers without a response.
    @Test
    void aStopRefusesTheWaitingRequests() throws IOException {
        try (RawCaller c = new RawCaller(callerPort)) {
            send(c, "/look/x", "key-1", "");
            pause(100);
            Thread.ofVirtual().start(daemon::stop);
            RawCaller.Response response = c.readResponse();
            assertEquals(503, response.status());
            assertTrue(response.body().contains("draining"), response.body());
        }
    }

    // Guards against a change of the behavior of a gateway that has a configuration.
    @Test
    void nothingWaitsOnceAConfigurationIsInForce() throws IOException {
        FakeHttpUpstream u = newUpstream();
        publish(u);
        await("the gateway is ready", () -> readinessStatus() == 200);
        try (RawCaller c = new RawCaller(callerPort)) {
            long startNanos = System.nanoTime();
            send(c, "/nowhere/", "key-1", "");
            assertEquals(404, c.readResponse().status());
            send(c, "/look/x", "key-1", "");
            assertEquals(200, c.readResponse().status());
            assertTrue(elapsedMs(startNanos) < IMMEDIATE_MS, elapsedMs(startNanos) + " ms");
        }
        assertTrue(!metrics().contains(COUNTER + "{"), metrics());
    }

    private FakeHttpUpstream newUpstream() throws IOException {
        FakeHttpUpstream u = new FakeHttpUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        upstreams.add(u);
        return u;
    }

    private void publish(FakeHttpUpstream u) {
        store.put("servers/" + u.id(), u.entry("svc", "ready"));
        store.put("op/config", configuration(7));
    }

    private static void send(RawCaller c, String target, String key, String body) throws IOException {
        c.write("GET " + target + " HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: id-1\r\n"
                + "Citrontide-Deadline-Ms: 8000\r\nAuthorization: Bearer " + key + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private static void assertNotReady(RawCaller.Response response) {
        assertEquals(503, response.status());
        assertTrue(response.body().contains("not-ready"), response.body());
        assertEquals("not-run", response.header("Citrontide-Verdict"));
        double retryAfter = Double.parseDouble(response.header("Retry-After"));
        assertTrue(retryAfter >= 0.5 && retryAfter <= 2.67, "Retry-After: " + retryAfter);
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
