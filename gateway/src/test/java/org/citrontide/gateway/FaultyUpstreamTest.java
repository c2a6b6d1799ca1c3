package org.citrontide.gateway;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with upstreams that repeat a refusal, or fail to resume a stream. */
final class FaultyUpstreamTest extends GatewayHarness {
    private static final int REQUESTS = 40;
    private static final int EVENTS = 6;
    private static final int EVENTS_BEFORE_BREAK = 3;
    private static final String EVENT = "id: %d\ndata: word-%d\n\n";
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

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

    @Test
    void streamThatAnotherUpstreamFailsToResumeNeverEndsAsComplete() throws IOException {
        Map<String, Script> resumptions = new LinkedHashMap<>();
        resumptions.put("error", (r, reply) -> reply.writeResponse("500 Internal Server Error", "oh\n\nno\n\n"));
        resumptions.put("unavailable", (r, reply) -> reply.writeResponse("503 Service Unavailable", "full\n\n"));
        resumptions.put("not-found", (r, reply) -> reply.writeResponse("404 Not Found", "nothing\n\nhere\n\n"));
        resumptions.put("bad-request", (r, reply) -> reply.writeResponse("400 Bad Request", "bad\n\n"));
        resumptions.put("redirect", (r, reply) -> reply.writeResponse("302 Found", "elsewhere\n\n"));
        resumptions.put("empty", (r, reply) -> reply.writeResponse("200 OK", ""));
        resumptions.put("json", (r, reply) -> reply.writeResponse("200 OK", "{\"error\":\"oh\"}\n\n"));
        resumptions.put("text", (r, reply) -> reply.writeResponse("200 OK", "oh\n\nno\n\nid: 4\ndata: x\n\n"));
        resumptions.put("error-event", (r, reply) -> {
            reply.writeHead("200 OK", EVENT_STREAM + "Transfer-Encoding: chunked\r\n");
            reply.writeChunk("event: error\ndata: oh\n\n");
            reply.write("0\r\n\r\n");
        });
        resumptions.put("second-head", (r, reply) -> {
            reply.writeHead("200 OK", EVENT_STREAM);
            reply.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno\n\n");
            throw new IOException("the end of the answer");
        });
        resumptions.put("gap", (r, reply) -> {
            reply.writeHead("200 OK", EVENT_STREAM + "Transfer-Encoding: chunked\r\n");
            reply.writeChunk(EVENT.formatted(EVENTS, EVENTS));
            reply.write("0\r\n\r\n");
        });
        resumptions.put(
                "unstamped",
                (r, reply) ->
                        reply.write("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: " + r.header("Citrontide-Attempt-Id")
                                + "\r\nContent-Length: 22\r\n\r\n" + EVENT.formatted(4, 4)));
        resumptions.put("unframed-empty", (r, reply) -> {
            reply.writeHead("200 OK", EVENT_STREAM);
            throw new IOException("the end of the answer");
        });
        Script script = (r, reply) -> resume(r, reply, resumptions);
        addUpstream("a", script);
        addUpstream("b", script);
        for (String name : resumptions.keySet()) {
            RawCaller.Response response = requestStream(name);
            assertFalse(response.isComplete(), name + " ended as complete: " + response.body());
            assertEquals(events(1, EVENTS_BEFORE_BREAK), response.body(), name);
        }
    }

    @Test
    void streamThatAnotherUpstreamStartsAnewIsContinuedWithoutRepeats() throws IOException {
        Map<String, Script> resumptions = Map.of("anew", (r, reply) -> {
            reply.writeHead("200 OK", EVENT_STREAM + "Transfer-Encoding: chunked\r\n");
            reply.writeChunk(": keep-alive\n\n");
            for (int i = 1; i <= EVENTS; i++) {
                reply.writeChunk(EVENT.formatted(i, i));
            }
            reply.write("0\r\n\r\n");
        });
        Script script = (r, reply) -> resume(r, reply, resumptions);
        addUpstream("a", script);
        addUpstream("b", script);
        RawCaller.Response response = requestStream("anew");
        assertTrue(response.isComplete());
        assertEquals(events(1, EVENTS), response.body().replace(": keep-alive\n\n", ""));
    }

    @Test
    void streamWhoseAttemptSkipsAnEventIsResumedAfterTheEventsBefore() throws IOException {
        Script script = (r, reply) -> {
            String lastEventId = r.header("Last-Event-Id");
            reply.writeHead("200 OK", EVENT_STREAM + "Transfer-Encoding: chunked\r\n");
            if (lastEventId.isEmpty()) {
                reply.writeChunk(events(1, 2) + EVENT.formatted(EVENTS, EVENTS));
            } else {
                reply.writeChunk(events(Integer.parseInt(lastEventId) + 1, EVENTS));
            }
            reply.write("0\r\n\r\n");
        };
        addUpstream("a", script);
        addUpstream("b", script);
        RawCaller.Response response = requestStream("gap");
        assertTrue(response.isComplete());
        assertEquals(events(1, EVENTS), response.body());
    }

    private RawCaller.Response requestStream(String name) throws IOException {
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/stream/" + name, "id-" + name, "");
            return c.readResponse();
        }
    }

    /** Starts a stream and breaks it off, or answers the attempt to resume it as its path names. */
    private static void resume(
            FakeHttpUpstream.ReceivedRequest r, FakeHttpUpstream.Reply reply, Map<String, Script> resumptions)
            throws IOException, InterruptedException {
        if (!r.header("Last-Event-Id").isEmpty()) {
            String path = r.requestLine().split(" ")[1];
            resumptions.get(path.substring("/stream/".length())).answer(r, reply);
            return;
        }
        reply.writeHead("200 OK", EVENT_STREAM + "Transfer-Encoding: chunked\r\n");
        for (int i = 1; i <= EVENTS_BEFORE_BREAK; i++) {
            reply.writeChunk(EVENT.formatted(i, i));
        }
        pause(30);
        reply.reset();
    }

    private static String events(int first, int last) {
        StringBuilder events = new StringBuilder();
        for (int i = first; i <= last; i++) {
            events.append(EVENT.formatted(i, i));
        }
        return events.toString();
    }
}
