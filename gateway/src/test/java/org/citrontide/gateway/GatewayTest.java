package org.citrontide.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.citrontide.gateway.daemon.GatewayDaemon;
import org.citrontide.gateway.daemon.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays a whole gateway over sockets against a stand-in of the platform's store and upstreams of odd manners. */
final class GatewayTest {
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final String EVENT = "id: %d\ndata: word-%d\n\n";

    private final int callerPort = TestPorts.next();
    private final int adminPort = TestPorts.next();
    private final List<FakeHttpUpstream> upstreams = new ArrayList<>();
    private FakePlatformStore store;
    private GatewayDaemon daemon;

    @BeforeEach
    void start() throws IOException {
        store = new FakePlatformStore();
        daemon = new GatewayDaemon(
                new GatewaySettings(
                        "vm1",
                        "z1",
                        new InetSocketAddress("127.0.0.1", callerPort),
                        new InetSocketAddress("127.0.0.1", adminPort),
                        new InetSocketAddress("127.0.0.1", store.port()),
                        100,
                        Duration.ofSeconds(8),
                        0.2,
                        Duration.ofSeconds(10),
                        600,
                        10),
                1);
        daemon.start();
    }

    @AfterEach
    void stop() throws IOException {
        store.close();
        for (FakeHttpUpstream u : upstreams) {
            u.close();
        }
    }

    @Test
    void anAnswerComesBackWholeAndTheRequestGoesOutAsItShould() throws IOException {
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.whole("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/x?y=1", "id-1", "turn");
            RawCaller.Answer answer = c.read();
            assertEquals(200, answer.status());
            assertEquals("hello", answer.body());
            assertEquals("stamp-of-a", answer.header("Citrontide-Response-Stamp"));
        }
        FakeHttpUpstream.Received r = u.received().getFirst();
        assertEquals("POST /book/x?y=1 HTTP/1.1", r.line());
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
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.whole("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("GET", "/nowhere/", "id-1", "");
            assertEquals(404, c.read().status());
            c.write("GET /look/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer wrong\r\n\r\n");
            assertEquals(401, c.read().status());
            c.write("GET /look/ HTTP/1.1\r\n\r\n");
            assertEquals(400, c.read().status());
        }
        assertEquals(List.of(), u.received());
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
            reply.whole("200 OK", "answer-to-" + r.header("Citrontide-Attempt-Id"));
            reply.whole("200 OK", "stray-after-" + r.header("Citrontide-Attempt-Id"));
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
            reply.raw("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: other\r\nCitrontide-Response-Stamp: s\r\n"
                    + "Content-Length: 5\r\n\r\nwrong");
            reply.whole("200 OK", "right");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/", "id-1", "");
            assertEquals("right", c.read().body());
        }
    }

    @Test
    void aTruncatedAnswerToWhatRunsOnceIs502AndNeverRunsAgain() throws IOException {
        Script cut = (r, reply) -> {
            reply.head("200 OK", "Content-Length: 100\r\n");
            reply.raw("half");
            reply.reset();
        };
        FakeHttpUpstream a = serve("a", cut);
        FakeHttpUpstream b = serve("b", cut);
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/", "id-1", "");
            assertEquals(502, c.read().status());
        }
        assertEquals(1, a.received().size() + b.received().size());
    }

    @Test
    void anAnswerWithoutLengthIsWholeOnlyIfItsConnectionEndsInOrder() throws IOException {
        serve("a", (r, reply) -> {
            reply.head("200 OK", "Connection: close\r\n");
            reply.raw("first half,");
            if (r.line().contains("reset")) {
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
                    upstreams.stream().mapToInt(u -> u.received().size()).sum() == 1;
            answerOrReject(isFirst, reply);
        });
        serve("b", (r, reply) -> {
            boolean isFirst =
                    upstreams.stream().mapToInt(u -> u.received().size()).sum() == 1;
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
            reply.head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            for (int i = from; i <= 6; i++) {
                if (i == 4 && from == 1) {
                    reply.raw("14\r\nid: 4\nda");
                    reply.reset();
                }
                reply.chunk(EVENT.formatted(i, i));
                pause(10);
            }
            reply.raw("0\r\n\r\n");
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
        List<FakeHttpUpstream.Received> all = new ArrayList<>(a.received());
        all.addAll(b.received());
        assertEquals(
                1,
                all.stream().filter(r -> r.header("Last-Event-Id").equals("3")).count());
    }

    @Test
    void aStreamThatCannotBeFinishedLooksBroken() throws IOException {
        serve("a", (r, reply) -> {
            reply.head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            reply.chunk(EVENT.formatted(1, 1));
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
        FakeHttpUpstream u = serve("a", (r, reply) -> reply.whole("200 OK", "hello"));
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
        assertEquals(List.of(), u.received());
    }

    @Test
    void oversizedRequestsAreRefused() throws IOException {
        serve("a", (r, reply) -> reply.whole("200 OK", "hello"));
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
        serve("a", (r, reply) -> reply.whole("200 OK", "hello"));
        try (RawCaller c = new RawCaller(callerPort)) {
            c.write("GET /look/ HTTP/1.1\r\nHost: h.exa");
            assertEquals(408, c.read().status());
        }
    }

    @Test
    void aDrainingUpstreamGetsNothingNewAndAnOlderConfigurationIsNotTaken() throws IOException {
        FakeHttpUpstream a = serve("a", (r, reply) -> reply.whole("200 OK", "a"));
        FakeHttpUpstream b = serve("b", (r, reply) -> reply.whole("200 OK", "b"));
        store.put("servers/a", a.entry("svc", "draining"));
        store.put("op/config", configuration(3).replace("/look/", "/gone/"));
        long before = store.calls();
        await("the change is read", () -> store.calls() >= before + 3);
        int served = a.received().size();
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 10; i++) {
                c.request("GET", "/look/", "id-" + i, "");
                assertEquals("b", c.read().body());
            }
        }
        assertEquals(served, a.received().size());
        assertEquals(10, b.received().size());
    }

    @Test
    void requestsAreServedWhileTheStoreIsAwayAndChangesAreReadAfterIt() throws IOException {
        serve("a", (r, reply) -> reply.whole("200 OK", "a"));
        store.setMode(FakePlatformStore.Mode.SILENT);
        long before = store.calls();
        await("the store is missed", () -> store.calls() >= before + 4);
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
    void entriesThatAreDamagedNameNoUpstreamAndHarmNoOther() throws IOException {
        FakeHttpUpstream a = serve("a", (r, reply) -> reply.whole("200 OK", "a"));
        store.put("servers/x1", "{\"service\":\"svc\"");
        store.put("servers/x2", a.entry("svc", "resting"));
        store.put("servers/x3", a.entry("svc", "ready").replace("\"slots\":4", "\"slots\":\"4\""));
        store.put("op/config", "{\"version\":99,\"routes\":7}");
        long before = store.calls();
        await("the entries are read", () -> store.calls() >= before + 3);
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 1; i <= 10; i++) {
                assertEquals(200, status(c, "/look/"));
            }
        }
        assertTrue(a.received().stream()
                .allMatch(r -> r.header("Citrontide-Expect-Instance").equals("a")));
    }

    @Test
    void aPlannedStopFinishesWhatRunsAndTellsTheBalancerFirst() throws Exception {
        serve("a", (r, reply) -> {
            pause(1500);
            reply.whole("200 OK", "late but whole");
        });
        try (RawCaller c = new RawCaller(callerPort)) {
            c.request("POST", "/book/", "id-1", "");
            pause(100);
            Thread stopper = Thread.ofVirtual().start(daemon::stop);
            await("readiness is off", () -> readiness() == 503);
            try (RawCaller late = new RawCaller(callerPort)) {
                late.request("POST", "/book/", "id-2", "");
                RawCaller.Answer answer = c.read();
                assertEquals("late but whole", answer.body());
                assertEquals("close", answer.header("Connection"));
                assertEquals("late but whole", late.read().body());
            }
            stopper.join();
        }
    }

    private static void answerOrReject(boolean isFirst, FakeHttpUpstream.Reply reply) throws IOException {
        if (isFirst) {
            reply.raw("HTTP/1.1 503 Service Unavailable\r\nCitrontide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            reply.whole("200 OK", "ran");
        }
    }

    /** Adds an upstream and waits until the gateway is ready and knows it. */
    private FakeHttpUpstream serve(String id, Script script) throws IOException {
        FakeHttpUpstream u = new FakeHttpUpstream(id, script);
        upstreams.add(u);
        store.put("servers/" + id, u.entry("svc", "ready"));
        store.put("op/config", configuration(7));
        long before = store.calls();
        await("the gateway knows " + id, () -> store.calls() >= before + 3 && readiness() == 200);
        return u;
    }

    private static String configuration(int version) {
        String routes = route("book", "unsafe", "") + "," + route("look", "safe", "") + ","
                + route("stream", "streaming", ",\"can_resume\":true,\"target_gap_ms\":120");
        return "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"svc\",\"max_connections\":50}],\"limits\":{\"max_header_bytes\":2048,"
                + "\"max_body_bytes\":65536,\"header_timeout_ms\":700,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"rangers\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static String route(String name, String kind, String more) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"svc\","
                + "\"max_attempts\":2" + more + "}";
    }

    private int readiness() {
        try (RawCaller c = new RawCaller(adminPort)) {
            c.write("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            return c.read().status();
        } catch (IOException e) {
            return -1;
        }
    }

    private static int status(RawCaller c, String target) {
        try {
            c.request("GET", target, "id-" + System.nanoTime(), "");
            return c.read().status();
        } catch (IOException e) {
            return -1;
        }
    }

    private static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "waited in vain until " + what);
            pause(10);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
