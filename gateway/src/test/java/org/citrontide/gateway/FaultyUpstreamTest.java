package org.citrontide.gateway;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with upstreams that repeat a refusal. */
final class FaultyUpstreamTest extends GatewayHarness {
    private static final int REQUESTS = 40;

    /** When an upstream writes its earlier refusal once more. */
    private enum Moment {
        AFTER_THE_REFUSAL,
        WHEN_THE_NEXT_REQUEST_IS_READ,
        WHILE_THE_NEXT_REQUEST_RUNS,
        AFTER_THE_NEXT_ANSWER
    }

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<Thread, String> refusalByConnection = new ConcurrentHashMap<>();
    private final AtomicInteger received = new AtomicInteger();

    @ParameterizedTest
    @EnumSource
    void repeatedRefusalWithTheIdOfItsRequestRefusesNoOtherRequest(Moment moment) throws IOException {
        checkBookings(moment, true);
    }

    @ParameterizedTest
    @EnumSource
    void repeatedRefusalWithoutIdRefusesNoOtherRequest(Moment moment) throws IOException {
        checkBookings(moment, false);
    }

    private void checkBookings(Moment moment, boolean hasId) throws IOException {
        Script script = (r, reply) -> answerOrRefuse(r, reply, moment, hasId);
        addUpstream("a", script);
        addUpstream("b", script);
        int answered = 0;
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 0; i < REQUESTS; i++) {
                String id = "id-" + i;
                c.sendRequest("POST", "/book/", id, "turn");
                RawCaller.Response response = c.readResponse();
                boolean isPromise = response.status() == 503 || response.status() == 429;
                pause(10);
                int count = runs.getOrDefault(id, new AtomicInteger()).get();
                assertTrue(count <= 1, id + " ran " + count + " times");
                assertFalse(isPromise && count > 0, id + " ran and was answered with " + response.status());
                if (response.status() == 200) {
                    assertEquals("ran-" + id, response.body());
                    answered++;
                }
            }
        }
        assertTrue(answered > 0, "no request was answered");
    }

    /** Refuses every third request, and repeats the last refusal of the connection at the given moment. */
    private void answerOrRefuse(
            FakeHttpUpstream.ReceivedRequest r, FakeHttpUpstream.Reply reply, Moment moment, boolean hasId)
            throws IOException {
        String id = r.header("Citrontide-Attempt-Id");
        if (received.incrementAndGet() % 3 == 1) {
            String refusal = "HTTP/1.1 503 Service Unavailable\r\nCitrontide-Not-Executed: 1\r\n"
                    + "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n";
            String idField = "Citrontide-Attempt-Id: " + id + "\r\n";
            reply.write(refusal + idField + "\r\n");
            refusalByConnection.put(Thread.currentThread(), refusal + (hasId ? idField : "") + "\r\n");
            repeatRefusal(reply, moment, Moment.AFTER_THE_REFUSAL);
            return;
        }
        repeatRefusal(reply, moment, Moment.WHEN_THE_NEXT_REQUEST_IS_READ);
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        repeatRefusal(reply, moment, Moment.WHILE_THE_NEXT_REQUEST_RUNS);
        pause(5);
        reply.writeResponse("200 OK", "ran-" + id);
        repeatRefusal(reply, moment, Moment.AFTER_THE_NEXT_ANSWER);
    }

    private void repeatRefusal(FakeHttpUpstream.Reply reply, Moment moment, Moment now) throws IOException {
        String refusal = refusalByConnection.get(Thread.currentThread());
        if (moment == now && refusal != null) {
            refusalByConnection.remove(Thread.currentThread());
            reply.write(refusal);
        }
    }
}
