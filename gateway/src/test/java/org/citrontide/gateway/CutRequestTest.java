package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.ReceivedRequest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with callers that break off a request and go on with another one. */
final class CutRequestTest extends GatewayHarness {
    private static final String HEAD =
            "POST /book/first HTTP/1.1\r\nHost: h.example\r\nCitrontide-Deadline-Ms: 3000\r\n"
                    + "Citrontide-Attempt-Id: id-first\r\nAuthorization: Bearer key-1\r\nX-Note: n\r\n"
                    + "Content-Length: 0\r\n\r\n";
    private static final String NEXT = "GET /look/next HTTP/1.1\r\nHost: h.example\r\nCitrontide-Deadline-Ms: 3000\r\n"
            + "Citrontide-Attempt-Id: id-next\r\nAuthorization: Bearer key-1\r\n\r\n";

    // Guards against a request that is put together from the heads of two.
    @Test
    void headThatIsCutAtAnyByteIsNotForwardedWithTheNextRequest() throws IOException {
        FakeHttpUpstream upstream = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "ok"));
        List<String> mixed = new ArrayList<>();
        // A method that is cut makes another method.
        for (int cut = "POST ".length(); cut < HEAD.length(); cut++) {
            int before = upstream.requests().size();
            try (RawCaller caller = new RawCaller(callerPort)) {
                caller.write(HEAD.substring(0, cut) + NEXT);
                RawCaller.Response response = caller.readResponse();
                if (response.status() != 400) {
                    mixed.add(cut + ": " + response.status());
                }
            }
            for (ReceivedRequest r :
                    upstream.requests().subList(before, upstream.requests().size())) {
                mixed.add(cut + ": " + r.requestLine() + " " + r.header("Citrontide-Attempt-Id"));
            }
        }
        assertEquals(List.of(), mixed);
    }

    // Guards against the response to one pipelined request that answers another, and against joined requests.
    @Test
    void pipelinedRequestsInPiecesOfAnySizeGetTheirOwnResponsesInOrder() throws IOException {
        FakeHttpUpstream upstream = addUpstream("a", (r, reply) -> {
            pause(r.requestLine().contains("slow") ? 20 : 0);
            reply.writeResponse("200 OK", r.requestLine().split(" ")[1] + " " + r.body());
        });
        String all = "";
        for (int i = 0; i < 4; i++) {
            String target = "/look/" + (i % 2 == 0 ? "slow" : "fast") + i;
            all += "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nCitrontide-Deadline-Ms: 3000\r\n"
                    + "Citrontide-Attempt-Id: id-" + i + "\r\nAuthorization: Bearer key-1\r\n"
                    + (i < 2
                            ? "Content-Length: 6\r\n\r\nbody-" + i
                            : "Transfer-Encoding: chunked\r\n\r\n6\r\nbody-" + i + "\r\n0\r\n\r\n");
        }
        for (int size : new int[] {1, 2, 7, 64, all.length()}) {
            try (RawCaller caller = new RawCaller(callerPort)) {
                for (int start = 0; start < all.length(); start += size) {
                    caller.write(all.substring(start, Math.min(all.length(), start + size)));
                }
                for (int i = 0; i < 4; i++) {
                    String target = "/look/" + (i % 2 == 0 ? "slow" : "fast") + i;
                    assertEquals(target + " body-" + i, caller.readResponse().body());
                }
            }
        }
        Set<String> bodies = Set.of("body-0", "body-1", "body-2", "body-3");
        assertTrue(upstream.requests().stream().allMatch(r -> bodies.contains(r.body())));
    }

    // Guards against a request that runs after the response that closes its connection, so that nobody gets its answer.
    @Test
    void aRequestBehindTheLastOneOfAConnectionIsNotForwarded() throws IOException {
        FakeHttpUpstream upstream = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "done"));
        for (int i = 0; i < 20; i++) {
            try (RawCaller caller = new RawCaller(callerPort)) {
                caller.write(bookingHead("first-" + i, "Connection: close\r\n") + bookingHead("second-" + i, ""));
                assertEquals(200, caller.readResponse().status());
                assertEquals("", caller.readToEnd());
            }
        }
        pause(100);
        assertEquals(
                List.of(),
                upstream.requests().stream()
                        .map(r -> r.header("Citrontide-Attempt-Id"))
                        .filter(id -> id.startsWith("second"))
                        .toList());
    }

    private static String bookingHead(String id, String field) {
        return "POST /book/x HTTP/1.1\r\nHost: h.example\r\nCitrontide-Deadline-Ms: 3000\r\n" + field
                + "Citrontide-Attempt-Id: " + id + "\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
    }

    // Guards against a request that runs although its body was cut.
    @Test
    void requestWhoseBodyIsCutAtAnyByteIsNotForwarded() throws IOException {
        FakeHttpUpstream upstream = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "ok"));
        for (String framing : List.of(
                "Content-Length: 6\r\n\r\nbody-1",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n3\r\ny-1\r\n0\r\n\r\n")) {
            int bodyStart = framing.indexOf("\r\n\r\n") + 4;
            for (int cut = bodyStart; cut < framing.length(); cut++) {
                try (RawCaller caller = new RawCaller(callerPort)) {
                    caller.write("POST /book/cut HTTP/1.1\r\nHost: h.example\r\nCitrontide-Deadline-Ms: 3000\r\n"
                            + "Citrontide-Attempt-Id: id-cut\r\nAuthorization: Bearer key-1\r\n"
                            + framing.substring(0, cut));
                }
            }
        }
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", "/book/whole", "id-whole", "body");
            assertEquals(200, caller.readResponse().status());
        }
        assertEquals(
                List.of("id-whole"),
                upstream.requests().stream()
                        .map(r -> r.header("Citrontide-Attempt-Id"))
                        .toList());
    }
}
