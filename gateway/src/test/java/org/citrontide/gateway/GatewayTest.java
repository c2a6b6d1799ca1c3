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

/** Tests a complete gateway over sockets, with a fake platform store and fake upstreams that misbehave. */
final class GatewayTest extends GatewayHarness {
    // The users' bound on the time until a removed upstream gets no more requests.
    private static final int DRAIN_MS = 2000;
    private static final String EVENT = "id: %d\ndata: word-%d\n\n";

    @Test
    void theRequestIsForwardedAndItsResponseReturned() throws IOException {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/book/x?y=1", "id-1", "turn");
            RawCaller.Response response = c.readResponse();
            assertEquals(200, response.status());
            assertEquals("hello", response.body());
            assertEquals("stamp-of-a", response.header("Citrontide-Response-Stamp"));
        }
        FakeHttpUpstream.ReceivedRequest r = u.requests().getFirst();
        assertEquals("POST /book/x?y=1 HTTP/1.1", r.requestLine());
        assertEquals("turn", r.body());
        assertEquals("rangers", r.header("Citrontide-Tenant"));
        assertEquals("", r.header("Authorization"), "the API key must not be forwarded");
        assertEquals("a", r.header("Citrontide-Expect-Instance"));
        assertEquals("id-1", r.header("Citrontide-Attempt-Id"));
        int remainingMs = Integer.parseInt(r.header("Citrontide-Deadline-Ms"));
        assertTrue(remainingMs > 1000 && remainingMs <= 3000, remainingMs + " ms left");
    }

    @Test
    void aRequestThatAFilterRefusesReachesNoUpstream() throws IOException {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("GET", "/nowhere/", "id-1", "");
            assertEquals(404, c.readResponse().status());
            c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer wrong\r\n\r\n");
            assertEquals(401, c.readResponse().status());
            c.write("GET /look/ HTTP/1.1\r\n\r\n");
            assertEquals(400, c.readResponse().status());
        }
        assertEquals(List.of(), u.requests());
    }

    @Test
    void aGatewayWithoutConfigurationIsNotReadyAndRefusesWith503() throws IOException {
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("GET", "/look/", "id-1", "");
            assertEquals(503, c.readResponse().status());
        }
        assertEquals(503, readinessStatus());
    }

    @Test
    void anUnsolicitedResponseIsNotReturnedToAnotherRequest() throws IOException {
        addUpstream("a", (r, reply) -> {
            reply.writeResponse("200 OK", "answer-to-" + r.header("Citrontide-Attempt-Id"));
            reply.writeResponse("200 OK", "stray-after-" + r.header("Citrontide-Attempt-Id"));
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 20; i++) {
                c.sendRequest("GET", "/look/", "id-" + i, "");
                assertEquals("answer-to-id-" + i, c.readResponse().body());
            }
        }
    }

    @Test
    void aResponseToAnotherRequestIsSkipped() throws IOException {
        addUpstream("a", (r, reply) -> {
            reply.write("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: other\r\nCitrontide-Response-Stamp: s\r\n"
                    + "Content-Length: 5\r\n\r\nwrong");
            reply.writeResponse("200 OK", "right");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/book/", "id-1", "");
            assertEquals("right", c.readResponse().body());
        }
    }

    @Test
    void aTruncatedResponseToAnAtMostOnceRequestIs502AndNotRetried() throws IOException {
        Script truncated = (r, reply) -> {
            reply.writeHead("200 OK", "Content-Length: 100\r\n");
            reply.write("half");
            reply.reset();
        };
        FakeHttpUpstream a = addUpstream("a", truncated);
        FakeHttpUpstream b = addUpstream("b", truncated);
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/book/", "id-1", "");
            assertEquals(502, c.readResponse().status());
        }
        assertEquals(1, a.requests().size() + b.requests().size());
    }

    @Test
    void aResponseWithoutLengthIsCompleteOnlyIfTheConnectionIsClosedCleanly() throws IOException {
        addUpstream("a", (r, reply) -> {
            reply.writeHead("200 OK", "Connection: close\r\n");
            reply.write("first half,");
            if (r.requestLine().contains("reset")) {
                pause(100);
                reply.reset();
            }
            throw new IOException("the end of the answer");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/book/in-order", "id-1", "");
            assertEquals("first half,", c.readResponse().body());
            c.sendRequest("POST", "/book/reset", "id-2", "");
            assertEquals(502, c.readResponse().status());
        }
    }

    @Test
    void aRequestRejectedByAnUpstreamIsRetriedElsewhere() throws IOException {
        addUpstream("a", (r, reply) -> {
            boolean isFirst =
                    upstreams.stream().mapToInt(u -> u.requests().size()).sum() == 1;
            rejectFirst(isFirst, reply);
        });
        addUpstream("b", (r, reply) -> {
            boolean isFirst =
                    upstreams.stream().mapToInt(u -> u.requests().size()).sum() == 1;
            rejectFirst(isFirst, reply);
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/book/", "id-1", "");
            assertEquals("ran", c.readResponse().body());
        }
    }

    @Test
    void aStreamThatBreaksWithinAnEventIsResumedAtAnotherUpstream() throws IOException {
        Script broken = (r, reply) -> {
            String lastEventId = r.header("Last-Event-Id");
            int firstNumber = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            for (int i = firstNumber; i <= 6; i++) {
                if (i == 4 && firstNumber == 1) {
                    reply.write("14\r\nid: 4\nda");
                    reply.reset();
                }
                reply.writeChunk(EVENT.formatted(i, i));
                pause(10);
            }
            reply.write("0\r\n\r\n");
        };
        FakeHttpUpstream a = addUpstream("a", broken);
        FakeHttpUpstream b = addUpstream("b", broken);
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/stream/", "id-1", "");
            RawCaller.Response response = c.readResponse();
            assertTrue(response.isComplete());
            StringBuilder expected = new StringBuilder();
            for (int i = 1; i <= 6; i++) {
                expected.append(EVENT.formatted(i, i));
            }
            assertEquals(expected.toString(), response.body());
        }
        List<FakeHttpUpstream.ReceivedRequest> received = new ArrayList<>(a.requests());
        received.addAll(b.requests());
        assertEquals(
                1,
                received.stream()
                        .filter(r -> r.header("Last-Event-Id").equals("3"))
                        .count());
    }

    @Test
    void aStreamWithoutFramingEndsWithItsConnectionOrIsResumedIfThatWasWithinAnEvent() throws IOException {
        Script unframed = (r, reply) -> {
            boolean isBroken = r.requestLine().contains("broken")
                    && r.header("Last-Event-Id").isEmpty();
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\n");
            for (int i = isBroken || r.header("Last-Event-Id").isEmpty() ? 1 : 4; i <= 6; i++) {
                if (isBroken && i == 4) {
                    reply.write("id: 4\nda");
                    break;
                }
                reply.write(EVENT.formatted(i, i));
            }
            throw new IOException("the end of the answer");
        };
        addUpstream("a", unframed);
        addUpstream("b", unframed);
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= 6; i++) {
            expected.append(EVENT.formatted(i, i));
        }
        for (String target : List.of("/stream/whole", "/stream/broken")) {
            try (RawCaller c = new RawCaller(callerPort)) {
                c.sendRequest("POST", target, "id-1", "");
                RawCaller.Response response = c.readResponse();
                assertTrue(response.isComplete(), target);
                assertEquals(expected.toString(), response.body(), target);
            }
        }
    }

    @Test
    void aStreamWithoutAnyEventIsNotACompleteResponse() throws IOException {
        Script empty = (r, reply) -> {
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\n");
            throw new IOException("the end of the answer");
        };
        addUpstream("a", empty);
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/stream/", "id-1", "");
            assertEquals(502, c.readResponse().status());
        }
    }

    @Test
    void aStreamThatCannotBeResumedEndsIncomplete() throws IOException {
        addUpstream("a", (r, reply) -> {
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            reply.writeChunk(EVENT.formatted(1, 1));
            pause(50);
            reply.reset();
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("POST", "/stream/", "id-1", "");
            RawCaller.Response response = c.readResponse();
            assertEquals(EVENT.formatted(1, 1), response.body());
            assertFalse(response.isComplete());
        }
    }

    @Test
    void theAttemptOfADisconnectedCallerIsCancelledWithinHalfASecond() throws IOException {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> reply.awaitClose());
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("GET", "/look/", "id-1", "");
            await("the request arrives", () -> u.openConnections() == 1);
        }
        long disconnectNanos = System.nanoTime();
        await("the connection to the upstream is closed", () -> u.openConnections() == 0);
        long ms = Duration.ofNanos(System.nanoTime() - disconnectNanos).toMillis();
        assertTrue(ms < 500, ms + " ms");
    }

    @Test
    void requestsWithAmbiguousFramingAreRefused() throws IOException {
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        String head = "POST /book/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n";
        for (String framing : List.of(
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n",
                "Content-Length: -4\r\n",
                "Content-Length : 4\r\n")) {
            try (RawCaller c = new RawCaller(callerPort)) {
                c.write(head + framing + "\r\n0\r\n\r\nPOST /book/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
                assertEquals(400, c.readResponse().status(), framing);
            }
        }
        assertEquals(List.of(), u.requests());
    }

    @Test
    void oversizedRequestsAreRefused() throws IOException {
        addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nX: " + "x".repeat(3000) + "\r\n\r\n");
            assertEquals(431, c.readResponse().status());
        }
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("POST /book/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n");
            assertEquals(413, c.readResponse().status());
        }
    }

    @Test
    void anIncompleteHeadIsAnsweredWith408() throws IOException {
        addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("GET /look/ HTTP/1.1\r\nHost: h.exa");
            assertEquals(408, c.readResponse().status());
        }
    }

    @Test
    void aDrainingUpstreamReceivesNoNewRequestsAndAnOlderConfigurationIsIgnored() throws IOException {
        FakeHttpUpstream a = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        FakeHttpUpstream b = addUpstream("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        store.put("servers/a", a.entry("svc", "draining"));
        store.put("op/config", configuration(3).replace("/look/", "/gone/"));
        long readsBefore = store.readCount();
        await("the change is read", () -> store.readCount() >= readsBefore + 3);
        int servedBefore = a.requests().size();
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 10; i++) {
                c.sendRequest("GET", "/look/", "id-" + i, "");
                assertEquals("b", c.readResponse().body());
            }
        }
        assertEquals(servedBefore, a.requests().size());
        assertEquals(10, b.requests().size());
    }

    @Test
    void requestsAreServedDuringAStoreOutageAndChangesAreReadAfterwards() throws IOException {
        addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        store.setMode(FakePlatformStore.Mode.DISCONNECTING);
        long readsBefore = store.readCount();
        await("the gateway has sent reads to the silent store", () -> store.readCount() >= readsBefore + 4);
        store.put("op/config", configuration(9).replace("/look/", "/see/"));
        store.compact();
        try (RawCaller c = new RawCaller(callerPort)) {
            c.sendRequest("GET", "/look/", "id-1", "");
            assertEquals("a", c.readResponse().body());
            store.setMode(FakePlatformStore.Mode.UP);
            await("the new route is in force", () -> requestStatus(c, "/see/") == 200);
            assertEquals(404, requestStatus(c, "/look/"));
        }
    }

    @Test
    void aGatewayThatTheStoreDoesNotServeReadsFromItsPeers() throws IOException {
        FakeHttpUpstream a = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        FakeHttpUpstream b = addUpstream("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        store.setMode(FakePlatformStore.Mode.HANGING);
        long outageStartNanos = System.nanoTime();
        try (FakePlatformStore peerStore = new FakePlatformStore();
                RawCaller c = new RawCaller(callerPort)) {
            // Represents the same store, which still serves the peer.
            for (int i = 0; i < 100; i++) {
                peerStore.put("servers/b", b.entry("svc", "ready"));
            }
            peerStore.put("servers/a", a.entry("svc", "draining"));
            peerStore.put(
                    "op/config", configuration(9).replace("key-1", "key-2").replace("/stream/", "/flow/"));
            createGateway(
                            "vm2",
                            TestPorts.allocate(),
                            TestPorts.allocate(),
                            peerStore,
                            Optional.of(localAddress(peerPort)),
                            List.of())
                    .start();
            await("the old key is refused", () -> requestStatus(c, "/look/") == 401);
            long ms = Duration.ofNanos(System.nanoTime() - outageStartNanos).toMillis();
            // The users' limit for the time until a change is in force while the store doesn't serve some machines.
            assertTrue(ms < 7000, "after " + ms + " ms");
            int servedBefore = a.requests().size();
            for (int i = 1; i <= 10; i++) {
                c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: new-" + i
                        + "\r\nAuthorization: Bearer key-2\r\n\r\n");
                assertEquals("b", c.readResponse().body());
            }
            assertEquals(servedBefore, a.requests().size());
        }
    }

    @Test
    void anUpstreamRemovedWhileTheStoreTurnsTheGatewayAwayGetsNoMoreRequests() throws IOException {
        FakeHttpUpstream a = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        FakeHttpUpstream b = addUpstream("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        store.setMode(FakePlatformStore.Mode.REFUSING);
        try (FakePlatformStore peerStore = new FakePlatformStore();
                RawCaller c = new RawCaller(callerPort)) {
            // Represents the same store, which still serves the peer.
            for (int i = 0; i < 100; i++) {
                peerStore.put("servers/a", a.entry("svc", "ready"));
            }
            peerStore.put("servers/b", b.entry("svc", "ready"));
            peerStore.put("op/config", configuration(9));
            createGateway(
                            "vm2",
                            TestPorts.allocate(),
                            TestPorts.allocate(),
                            peerStore,
                            Optional.of(localAddress(peerPort)),
                            List.of())
                    .start();
            // The peer has served this gateway for longer than the grace period after an outage.
            pause(5000);
            peerStore.remove("servers/a");
            pause(DRAIN_MS);
            int servedBefore = a.requests().size();
            for (int i = 1; i <= 20; i++) {
                assertEquals(200, requestStatus(c, "/look/"));
            }
            assertEquals(0, a.requests().size() - servedBefore);
        }
    }

    @Test
    void anUpstreamMissingAfterAnOutageIsDroppedWithoutAFurtherChange() throws IOException {
        FakeHttpUpstream a = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        addUpstream("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        store.setMode(FakePlatformStore.Mode.REFUSING);
        pause(3000);
        store.remove("servers/a");
        store.setMode(FakePlatformStore.Mode.UP);
        // The grace period and the longest time between two reads of the store.
        pause(2200 + 1800 + 1000);
        int servedBefore = a.requests().size();
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 20; i++) {
                assertEquals(200, requestStatus(c, "/look/"));
            }
        }
        assertEquals(0, a.requests().size() - servedBefore);
    }

    @Test
    void aGatewayRegistersSoThatOthersCanCountIt() {
        await("registered", () -> store.has("citrontide/gateways/vm1"));
    }

    @Test
    void invalidEntriesAreIgnoredAndDoNotAffectOthers() throws IOException {
        FakeHttpUpstream a = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        store.put("servers/x1", "{\"service\":\"svc\"");
        store.put("servers/x2", a.entry("svc", "resting"));
        store.put("servers/x3", a.entry("svc", "ready").replace("\"slots\":4", "\"slots\":\"4\""));
        store.put("op/config", "{\"version\":99,\"routes\":7}");
        long readsBefore = store.readCount();
        await("the entries are read", () -> store.readCount() >= readsBefore + 3);
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 10; i++) {
                assertEquals(200, requestStatus(c, "/look/"));
            }
        }
        assertTrue(a.requests().stream()
                .allMatch(r -> r.header("Citrontide-Expect-Instance").equals("a")));
    }

    @Test
    void oddUpstreamEntriesAreLeftOutAndLaterChangesAreFollowed() throws IOException {
        FakeHttpUpstream a = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "a"));
        String entry = a.entry("svc", "ready");
        store.put("servers/nested", "[".repeat(100_000));
        store.put("servers/nested-field", entry.replace("\"slots\":4", "\"slots\":4,\"x\":" + "{\"a\":".repeat(900)));
        store.put("servers/slots", entry.replace("\"slots\":4", "\"slots\":2000000000"));
        store.put("servers/number", entry.replace("\"sequence\":1", "\"sequence\":" + "9".repeat(100_000)));
        store.put("servers/port", entry.replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:70000"));
        store.put("servers/port-zero", entry.replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:0"));
        store.put("servers/octet", entry.replace("127.0.0.1", "999.999.999.999"));
        store.put("servers/line\r\nbreak: x", entry);
        store.put("servers/", entry);
        store.put("servers/noise", "\u0000\ufffd".repeat(200_000));
        FakeHttpUpstream b = addUpstream("b", (r, reply) -> reply.writeResponse("200 OK", "b"));
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 40; i++) {
                assertEquals(200, requestStatus(c, "/look/"));
            }
            store.put("op/config", configuration(9).replace("/look/", "/see/"));
            await("the new route is in force", () -> requestStatus(c, "/see/") == 200);
        }
        assertTrue(a.requests().stream()
                .allMatch(r -> r.header("Citrontide-Expect-Instance").equals("a")));
        assertTrue(b.requests().stream()
                .allMatch(r -> r.header("Citrontide-Expect-Instance").equals("b")));
    }

    private static void rejectFirst(boolean isFirst, FakeHttpUpstream.Reply reply) throws IOException {
        if (isFirst) {
            reply.write("HTTP/1.1 503 Service Unavailable\r\nCitrontide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            reply.writeResponse("200 OK", "ran");
        }
    }
}
