package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests a gateway over sockets with an upstream that breaks off a response within its body and sends another one. */
final class SecondResponseInBodyTest extends GatewayHarness {
    private static final String FIRST_EVENT = "id: 1\ndata: first\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: second\n\n";
    private static final String EVENTS = FIRST_EVENT + SECOND_EVENT;
    private static final String STRAY_EVENTS = "id: 1\ndata: stray\n\nid: 2\ndata: stray\n\nid: 3\ndata: stray\n\n";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: %s\r\nCitrontide-Response-Stamp: stamp\r\n"
                    + "Content-Type: text/event-stream\r\n";
    private static final List<String> FRAMINGS = List.of(
            "Transfer-Encoding: chunked\r\n\r\n13\r\n" + FIRST_EVENT + "\r\n14\r\n" + SECOND_EVENT + "\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n13;name=value\r\n" + FIRST_EVENT + "\r\n14;name=value\r\n" + SECOND_EVENT
                    + "\r\n0\r\nX-Trailer: value\r\n\r\n",
            "\r\n" + EVENTS);
    private static final List<String> STRAY_FRAMINGS = List.of(
            "Content-Length: 57\r\n\r\n" + STRAY_EVENTS,
            "Transfer-Encoding: chunked\r\n\r\n39\r\n" + STRAY_EVENTS + "\r\n0\r\n\r\n");

    // Guards against a body or an event that is put together from two responses.
    @Test
    void responseThatFollowsWithinABodyIsNoPartOfIt() throws IOException {
        addUpstream("a", (r, reply) -> {
            String[] path = r.requestLine().split(" ")[1].split("/");
            String head = HEAD.formatted(r.header("Citrontide-Attempt-Id"));
            String framing = FRAMINGS.get(Integer.parseInt(path[2]));
            String stray = head + STRAY_FRAMINGS.get(Integer.parseInt(path[3]));
            reply.write(head + framing.substring(0, Integer.parseInt(path[4])) + stray);
            throw new IOException("the end of the connection");
        });
        List<String> mixed = new ArrayList<>();
        for (int framing = 0; framing < FRAMINGS.size(); framing++) {
            for (int stray = 0; stray < STRAY_FRAMINGS.size(); stray++) {
                int bodyStart = FRAMINGS.get(framing).indexOf("\r\n\r\n") + 4;
                for (int cut = bodyStart; cut <= FRAMINGS.get(framing).length(); cut++) {
                    // The end of its connection is all that ends a body without a length.
                    for (String route : framing < 2 ? List.of("book", "stream") : List.of("stream")) {
                        check("/" + route + "/" + framing + "/" + stray + "/" + cut, mixed);
                    }
                }
            }
        }
        assertEquals(List.of(), mixed);
    }

    private void check(String target, List<String> mixed) throws IOException {
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", target, "id-1", "");
            RawCaller.Response response = caller.readResponse();
            boolean isOwn = response.isComplete()
                    ? response.body().equals(EVENTS)
                    : target.startsWith("/stream/") && EVENTS.startsWith(response.body());
            if (response.status() == 200 && !isOwn) {
                mixed.add(target + " " + response.isComplete() + " " + response.body());
            }
        }
    }
}
