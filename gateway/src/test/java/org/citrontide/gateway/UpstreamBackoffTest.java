package org.citrontide.gateway;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests over sockets what reaches an upstream that turns requests away with 503 and a time to wait. */
final class UpstreamBackoffTest extends GatewayHarness {
    // From the users' pages: between half a second after the answer and the end of its time, two requests may arrive.
    private static final long GRACE_MS = 500;
    private static final int MAX_ARRIVALS = 2;
    private static final int BACKOFF_MS = 3000;
    private static final int REQUEST_INTERVAL_MS = 15;

    private final List<Long> arrivalMs = new CopyOnWriteArrayList<>();
    private final List<Long> answerMs = new CopyOnWriteArrayList<>();
    private volatile String retryAfter = "3";
    private volatile boolean isTurningAway = true;

    /** Guards against an upstream that gets requests although it asked to be left alone. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anUpstreamThatAsksToWaitGetsNothingUntilThen(boolean isMarkedNotRun) throws IOException {
        addUpstream("away", (r, reply) -> turnAway(r, reply, isMarkedNotRun));
        addUpstream("other", (r, reply) -> reply.writeResponse("200 OK", "other"));
        send(BACKOFF_MS + 300);
        assertTrue(!answerMs.isEmpty(), "the upstream was asked");
        for (long answered : answerMs) {
            long arrivals = arrivalMs.stream()
                    .filter(ms -> ms > answered + GRACE_MS && ms < answered + BACKOFF_MS)
                    .count();
            assertTrue(arrivals <= MAX_ARRIVALS, arrivals + " requests arrived, " + MAX_ARRIVALS + " allowed");
        }
        isTurningAway = false;
        int before = arrivalMs.size();
        send(BACKOFF_MS);
        assertTrue(arrivalMs.size() > before, "the upstream is used again after its time");
    }

    /** Guards against callers that wait for an upstream that is away, or are told to come back before it is. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileAllUpstreamsAreAwayCallersAreToldWhenTheFirstOneIsBack(boolean isMarkedNotRun) throws IOException {
        addUpstream("away", (r, reply) -> turnAway(r, reply, isMarkedNotRun));
        try (RawCaller caller = new RawCaller(callerPort)) {
            assertEquals(503, requestStatus(caller, "/look/"));
            long startMs = nowMs();
            caller.sendRequest("GET", "/look/", "id-second", "");
            RawCaller.Response refused = caller.readResponse();
            assertEquals(503, refused.status());
            assertTrue(nowMs() - startMs < GRACE_MS, "refused at once");
            // Callers wait for at most a third of their time, which is 3 s here.
            double seconds = Double.parseDouble(refused.header("Retry-After"));
            assertTrue(seconds > 0.9 && seconds <= 1, seconds + " s");
        }
        assertEquals(1, arrivalMs.size());
    }

    /** Guards against a value that can't be read and stops an upstream, or the handling of its response. */
    @ParameterizedTest
    @ValueSource(strings = {"-3", "soon", "Mon, 07 Dec 2026 21:00:00 GMT", "9999999999999999999999", "0", "1e3", ""})
    void aTimeThatCannotBeReadIsIgnored(String value) throws IOException {
        retryAfter = value;
        addUpstream("away", (r, reply) -> turnAway(r, reply, true));
        try (RawCaller caller = new RawCaller(callerPort)) {
            assertEquals(503, requestStatus(caller, "/look/"));
            isTurningAway = false;
            await("the upstream is asked again", () -> requestStatus(caller, "/look/") == 200);
        }
    }

    private void send(int durationMs) throws IOException {
        try (RawCaller caller = new RawCaller(callerPort)) {
            long endMs = nowMs() + durationMs;
            while (nowMs() < endMs) {
                requestStatus(caller, "/look/");
                pause(REQUEST_INTERVAL_MS);
            }
        }
    }

    private void turnAway(
            FakeHttpUpstream.ReceivedRequest request, FakeHttpUpstream.Reply reply, boolean isMarkedNotRun)
            throws IOException {
        arrivalMs.add(nowMs());
        if (!isTurningAway) {
            reply.writeResponse("200 OK", "back");
            return;
        }
        answerMs.add(nowMs());
        String mark = isMarkedNotRun ? "Citrontide-Not-Executed: 1\r\n" : "";
        reply.writeHead(
                "503 Service Unavailable",
                mark + "Retry-After: " + retryAfter + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n");
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
