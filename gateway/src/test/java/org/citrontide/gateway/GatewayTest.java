package org.citrontide.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays a whole gateway over sockets against a stand-in of the platform's store and upstreams of odd manners. */
final class GatewayTest extends GatewayHarness {
    private static final String EVENT = "id: %d\ndata: word-%d\n\n";

    @Test
    void anAnswerComesBackWholeAndTheRequestGoesOutAsItShould() throws IOException {
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/x?y=1", "id-1", "turn");
            RawCaller.Answer answer = c.read();
            assertEquals(200, answer.status());
            assertEquals("hello", answer.body());
            assertEquals("stamp-of-a", answer.header("Citrontide-Response-Stamp"));
        }
        FakeHttpUpstream.ReceivedRequest r = u.requests().getFirst();
        assertEquals("POST /book/x?y=1 HTTP/1.1", r.requestLine());
        assertEquals("turn", r.body());
        assertEquals("rangers", r.header("Citrontide-Tenant"));
        assertEquals("", r.header("Authorization"), "the key must not be passed on");
        assertEquals("a", r.header("Citrontide-Expect-Instance"));
        assertEquals("id-1", r.header("Citrontide-Attempt-Id"));
        int left = Integer.parseInt(r.header("Citrontide-Deadline-Ms"));
        assertTrue(left > 1000 && left <= 3000, left + " ms left");
    }

    @Test
    void aRequestThatMayNotPassIsRefusedAndReachesNoUpstream() throws IOException {
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("GET", "/nowhere/", "id-1", "");
            assertEquals(404, c.read().status());
            c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer wrong\r\n\r\n");
            assertEquals(401, c.read().status());
            c.write("GET /look/ HTTP/1.1\r\n\r\n");
            assertEquals(400, c.read().status());
        }
        assertEquals(List.of(), u.requests());
    }

    @Test
    void aGatewayWithoutConfigurationIsNotReadyAndRefusesWith503() throws IOException {
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("GET", "/look/", "id-1", "");
            assertEquals(503, c.read().status());
        }
        assertEquals(503, readiness());
    }

    @Test
    void aSecondAnswerOnAConnectionBelongsToNobody() throws IOException {
        serve("a", (r, reply) -> {
            reply.writeResponse("200 OK", "answer-to-" + r.header("Citrontide-Attempt-Id"));
            reply.writeResponse("200 OK", "stray-after-" + r.header("Citrontide-Attempt-Id"));
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 20; i++) {
                c.request("GET", "/look/", "id-" + i, "");
                assertEquals("answer-to-id-" + i, c.read().body());
            }
        }
    }

    @Test
    void anAnswerOfAnotherRequestIsSkipped() throws IOException {
        serve("a", (r, reply) -> {
            reply.write("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: other\r\nCitrontide-Response-Stamp: s\r\n"
                    + "Content-Length: 5\r\n\r\nwrong");
            reply.writeResponse("200 OK", "right");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/", "id-1", "");
            assertEquals("right", c.read().body());
        }
    }

    @Test
    void aTruncatedAnswerToWhatRunsOnceIs502AndNeverRunsAgain() throws IOException {
        Script cut = (r, reply) -> {
            reply.writeHead("200 OK", "Content-Length: 100\r\n");
            reply.write("half");
            reply.reset();
        };
        FakeHttpUpstream a = serve("a", cut);
        FakeHttpUpstream b = serve("b", cut);
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/", "id-1", "");
            assertEquals(502, c.read().status());
        }
        assertEquals(1, a.requests().size() + b.requests().size());
    }

    @Test
    void anAnswerWithoutLengthIsWholeOnlyIfItsConnectionEndsInOrder() throws IOException {
        serve("a", (r, reply) -> {
            reply.writeHead("200 OK", "Connection: close\r\n");
            reply.write("first half,");
            if (r.requestLine().contains("reset")) {
                pause(100);
                reply.reset();
            }
            throw new IOException("the end of the answer");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/in-order", "id-1", "");
            assertEquals("first half,", c.read().body());
            c.request("POST", "/book/reset", "id-2", "");
            assertEquals(502, c.read().status());
        }
    }

    @Test
    void aRefusalOfAnUpstreamIsTriedElsewhere() throws IOException {
        serve("a", (r, reply) -> {
            boolean isFirst =
                    upstreams.stream().mapToInt(u -> u.requests().size()).sum() == 1;
            answerOrReject(isFirst, reply);
        });
        serve("b", (r, reply) -> {
            boolean isFirst =
                    upstreams.stream().mapToInt(u -> u.requests().size()).sum() == 1;
            answerOrReject(isFirst, reply);
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/", "id-1", "");
            assertEquals("ran", c.read().body());
        }
    }

    @Test
    void aStreamThatBreaksInAnEventGoesOnAtAnotherUpstream() throws IOException {
        Script broken = (r, reply) -> {
            String last = r.header("Last-Event-Id");
            int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            for (int i = from; i <= 6; i++) {
                if (i == 4 && from == 1) {
                    reply.write("14\r\nid: 4\nda");
                    reply.reset();
                }
                reply.writeChunk(EVENT.formatted(i, i));
                pause(10);
            }
            reply.write("0\r\n\r\n");
        };
        FakeHttpUpstream a = serve("a", broken);
        FakeHttpUpstream b = serve("b", broken);
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/stream/", "id-1", "");
            RawCaller.Answer answer = c.read();
            assertTrue(answer.isWhole());
            StringBuilder expected = new StringBuilder();
            for (int i = 1; i <= 6; i++) {
                expected.append(EVENT.formatted(i, i));
            }
            assertEquals(expected.toString(), answer.body());
        }
        List<FakeHttpUpstream.ReceivedRequest> all = new ArrayList<>(a.requests());
        all.addAll(b.requests());
        assertEquals(
                1,
                all.stream().filter(r -> r.header("Last-Event-Id").equals("3")).count());
    }

    @Test
    void aStreamThatCannotBeFinishedLooksBroken() throws IOException {
        serve("a", (r, reply) -> {
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            reply.writeChunk(EVENT.formatted(1, 1));
            pause(50);
            reply.reset();
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/stream/", "id-1", "");
            RawCaller.Answer answer = c.read();
            assertEquals(EVENT.formatted(1, 1), answer.body());
            assertFalse(answer.isWhole());
        }
    }

    @Test
    void aCallerThatLeavesEndsTheWorkWithinHalfASecond() throws IOException {
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.awaitClose());
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("GET", "/look/", "id-1", "");
            await("the request arrives", () -> u.openConnections() == 1);
        }
        long left = System.nanoTime();
        await("the upstream sees the close", () -> u.openConnections() == 0);
        long ms = Duration.ofNanos(System.nanoTime() - left).toMillis();
        assertTrue(ms < 500, ms + " ms");
    }

    @Test
    void whatTwoReadersCouldFrameDifferentlyIsRefused() throws IOException {
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        String head = "POST /book/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n";
        for (String framing : List.of(
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n",
                "Content-Length: -4\r\n",
                "Content-Length : 4\r\n")) {
            try (RawCaller c = new RawCaller(callerPort)) {
                c.write(head + framing + "\r\n0\r\n\r\nPOST /book/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
                assertEquals(400, c.read().status(), framing);
            }
        }
        assertEquals(List.of(), u.requests());
    }

    @Test
    void oversizedRequestsAreRefused() throws IOException {
        serve("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nX: " + "x".repeat(3000) + "\r\n\r\n");
            assertEquals(431, c.read().status());
        }
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("POST /book/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n");
            assertEquals(413, c.read().status());
        }
    }

    @Test
    void aCallerThatDoesNotFinishItsHeadIsToldSo() throws IOException {
        serve("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("GET /look/ HTTP/1.1\r\nHost: h.exa");
            assertEquals(408, c.read().status());
        }
    }

    @Test
    void aDrainingUpstreamGetsNothingNewAndAnOlderConfigurationIsNotTaken() throws IOException {
        FakeHttpUpstream a = serve("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        FakeHttpUpstream b = serve("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        store.put("servers/a", a.entry("svc", "draining"));
        store.put("op/config", configuration(3).replace("/look/", "/gone/"));
        long before = store.readCount();
        await("the change is read", () -> store.readCount() >= before + 3);
        int served = a.requests().size();
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 10; i++) {
                c.request("GET", "/look/", "id-" + i, "");
                assertEquals("b", c.read().body());
            }
        }
        assertEquals(served, a.requests().size());
        assertEquals(10, b.requests().size());
    }

    @Test
    void requestsAreServedWhileTheStoreIsAwayAndChangesAreReadAfterIt() throws IOException {
        serve("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        store.setMode(FakePlatformStore.Mode.DISCONNECTING);
        long before = store.readCount();
        await("the store is missed", () -> store.readCount() >= before + 4);
        store.put("op/config", configuration(9).replace("/look/", "/see/"));
        store.compact();
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("GET", "/look/", "id-1", "");
            assertEquals("a", c.read().body());
            store.setMode(FakePlatformStore.Mode.UP);
            await("the new route is there", () -> status(c, "/see/") == 200);
            assertEquals(404, status(c, "/look/"));
        }
    }

    @Test
    void aGatewayThatTheStoreTurnsAwayLearnsFromItsPeers() throws IOException {
        FakeHttpUpstream a = serve("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        FakeHttpUpstream b = serve("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        store.setMode(FakePlatformStore.Mode.HANGING);
        long lost = System.nanoTime();
        try (FakePlatformStore others = new FakePlatformStore();
                RawCaller c = new RawCaller(callerPort)) {
            // Stands for the same store, which goes on for the peer.
            for (int i = 0; i < 100; i++) {
                others.put("servers/b", b.entry("svc", "ready"));
            }
            others.put("servers/a", a.entry("svc", "draining"));
            others.put("op/config", configuration(9).replace("key-1", "key-2").replace("/stream/", "/flow/"));
            gateway(TestPorts.allocate(), TestPorts.allocate(), others, Optional.of(local(peerPort)), List.of())
                    .start();
            await("the key is taken away", () -> status(c, "/look/") == 401);
            long ms = Duration.ofNanos(System.nanoTime() - lost).toMillis();
            // The users' bound for a change while the store turns some machines away.
            assertTrue(ms < 7000, "after " + ms + " ms");
            int served = a.requests().size();
            for (int i = 1; i <= 10; i++) {
                c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: new-" + i
                        + "\r\nAuthorization: Bearer key-2\r\n\r\n");
                assertEquals("b", c.read().body());
            }
            assertEquals(served, a.requests().size());
        }
    }

    @Test
    void aGatewayRegistersSoThatOthersCanCountIt() {
        await("registered", () -> store.has("citrontide/gateways/vm1"));
    }

    @Test
    void entriesThatAreDamagedNameNoUpstreamAndHarmNoOther() throws IOException {
        FakeHttpUpstream a = serve("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        store.put("servers/x1", "{\"service\":\"svc\"");
        store.put("servers/x2", a.entry("svc", "resting"));
        store.put("servers/x3", a.entry("svc", "ready").replace("\"slots\":4", "\"slots\":\"4\""));
        store.put("op/config", "{\"version\":99,\"routes\":7}");
        long before = store.readCount();
        await("the entries are read", () -> store.readCount() >= before + 3);
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 10; i++) {
                assertEquals(200, status(c, "/look/"));
            }
        }
        assertTrue(a.requests().stream()
                .allMatch(r -> r.header("Citrontide-Expect-Instance").equals("a")));
    }

    private static void answerOrReject(boolean isFirst, FakeHttpUpstream.Reply reply) throws IOException {
        if (isFirst) {
            reply.write("HTTP/1.1 503 Service Unavailable\r\nCitrontide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            reply.writeResponse("200 OK", "ran");
        }
    }
}
