package org.citrontide.gateway;

import java.io.IOException;
import java.util.List;

import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with an upstream that ends its connection after each possible byte of a response. */
final class CutResponseTest extends GatewayHarness {
    private static final String FIRST_EVENT = "id: 1\ndata: first\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: second\n\n";
    private static final String EVENTS = FIRST_EVENT + SECOND_EVENT;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: %s\r\nCitrontide-Response-Stamp: stamp\r\n"
                    + "Content-Type: text/event-stream\r\n";
    private static final List<String> FRAMINGS = List.of(
            HEAD + "Content-Length: 39\r\n\r\n" + EVENTS,
            HEAD + "Transfer-Encoding: chunked\r\n\r\n13\r\n" + FIRST_EVENT + "\r\n14\r\n" + SECOND_EVENT
                    + "\r\n0\r\n\r\n",
            HEAD + "\r\n" + EVENTS);

    // Guards against an empty or short body that is delivered as a whole one.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseCutAtAnyByteIsNeverDeliveredAsComplete(boolean isReset) throws IOException {
        addUpstream("a", (r, reply) -> {
            String[] path = r.requestLine().split(" ")[1].split("/");
            String id = r.header("Citrontide-Attempt-Id");
            String response = FRAMINGS.get(Integer.parseInt(path[2])).formatted(id);
            reply.write(response.substring(0, Integer.parseInt(path[3])));
            if (isReset) {
                // The bytes are read before the connection is reset.
                pause(3);
                reply.reset();
            }
            throw new IOException("the end of the connection");
        });
        for (int framing = 0; framing < FRAMINGS.size(); framing++) {
            int length = FRAMINGS.get(framing).formatted("id-1").length();
            int bodyStart = FRAMINGS.get(framing).formatted("id-1").indexOf("\r\n\r\n") + 4;
            for (int cut = 0; cut < length; cut++) {
                // The end of a connection is all that ends a body without a length.
                boolean isBodyEndKnown = framing < 2 || isReset || cut < bodyStart;
                for (String route : isBodyEndKnown ? List.of("book", "stream") : List.<String>of()) {
                    checkBroken("/" + route + "/" + framing + "/" + cut);
                }
            }
        }
        for (int framing = 0; framing < 2; framing++) {
            int length = FRAMINGS.get(framing).formatted("id-1").length();
            RawCaller.Response whole = request("/book/" + framing + "/" + length);
            assertEquals(200, whole.status());
            assertEquals(EVENTS, whole.body());
        }
    }

    // Guards against a stream that ends as complete because the head of its continuation is cut.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamWhoseContinuationIsCutAtAnyByteIsNeverDeliveredAsComplete(boolean isReset) throws IOException {
        Script script = (r, reply) -> {
            String[] path = r.requestLine().split(" ")[1].split("/");
            boolean isContinuation = !r.header("Last-Event-Id").isEmpty();
            String head = HEAD.formatted(r.header("Citrontide-Attempt-Id")) + "Transfer-Encoding: chunked\r\n\r\n";
            String response = isContinuation
                    ? (head + "14\r\n" + SECOND_EVENT + "\r\n0\r\n\r\n").substring(0, Integer.parseInt(path[2]))
                    : head + "13\r\n" + FIRST_EVENT + "\r\n";
            reply.write(response);
            pause(3);
            if (isReset || !isContinuation) {
                reply.reset();
            }
            throw new IOException("the end of the connection");
        };
        addUpstream("a", script);
        addUpstream("b", script);
        int length = HEAD.formatted("id-1").length()
                + "Transfer-Encoding: chunked\r\n\r\n14\r\n".length()
                + SECOND_EVENT.length()
                + "\r\n0\r\n\r\n".length();
        for (int cut = 0; cut < length; cut++) {
            checkBroken("/stream/" + cut);
        }
    }

    private void checkBroken(String target) throws IOException {
        RawCaller.Response response = request(target);
        if (response.status() == 200) {
            assertFalse(response.isComplete(), target + " is complete with " + response.body());
            assertTrue(EVENTS.startsWith(response.body()), target);
        } else {
            assertTrue(response.status() == 502 || response.status() == 504, target + " " + response.status());
        }
    }

    private RawCaller.Response request(String target) throws IOException {
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", target, "id-1", "");
            return caller.readResponse();
        }
    }
}
