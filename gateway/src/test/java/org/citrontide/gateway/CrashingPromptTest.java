package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests two gateways over sockets whose upstreams crash as soon as they begin an answer on a certain part of a prompt,
 * and are replaced by new ones.
 */
final class CrashingPromptTest extends GatewayHarness {
    private static final String CRASHING_PART = "bad";
    private static final int UPSTREAMS = 6;
    private static final int CRASHES_UNTIL_KNOWN = 5;
    private static final int PAUSE_MS = 300;
    // From the users' pages: the time after the fifth crash from which such requests are counted, and how many may
    // still reach an upstream.
    private static final int KNOWN_AFTER_MS = 3000;
    private static final int MAX_LATE_ARRIVALS = 3;

    private final int secondCallerPort = TestPorts.allocate();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger crashingArrivals = new AtomicInteger();
    private final AtomicInteger nextUpstream = new AtomicInteger();
    private final List<FakePlatformStore> stores = new ArrayList<>();
    private int nextRequest;

    @BeforeEach
    void addStore() {
        stores.add(store);
    }

    @Test
    void requestsWithAPartThatCrashesUpstreamsStopReachingThem() throws IOException {
        store.put("op/config", configuration(7));
        for (int i = 0; i < UPSTREAMS; i++) {
            startUpstream();
        }
        createGateway("vm2", secondCallerPort, TestPorts.allocate(), store, Optional.empty(), List.of())
                .start();
        await("both gateways serve", () -> sendSound(callerPort) == 200 && sendSound(secondCallerPort) == 200);

        for (int i = 0; i < 2 * CRASHES_UNTIL_KNOWN && crashes.get() < CRASHES_UNTIL_KNOWN; i++) {
            sendCrashing(i);
            pause(PAUSE_MS);
        }
        assertTrue(crashes.get() > 0, "no upstream crashed");
        pause(KNOWN_AFTER_MS);
        int arrivalsBefore = crashingArrivals.get();
        for (int i = 0; i < 10; i++) {
            sendCrashing(i);
            pause(PAUSE_MS);
        }
        int late = crashingArrivals.get() - arrivalsBefore;
        assertTrue(
                late <= MAX_LATE_ARRIVALS,
                late + " requests with the part reached upstreams after " + crashes.get() + " crashes were known");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, sendSound(i % 2 == 0 ? callerPort : secondCallerPort));
        }
    }

    @Test
    void crashesSeenByAGatewayThatTheStoreDoesNotServeAreKnownToOthers() throws IOException {
        // Represents the same store, which still serves the other gateway, and is further on.
        try (FakePlatformStore otherStore = new FakePlatformStore()) {
            for (int i = 0; i < 100; i++) {
                otherStore.put("unrelated", "");
            }
            stores.add(otherStore);
            stores.forEach(s -> s.put("op/config", configuration(7)));
            for (int i = 0; i < UPSTREAMS; i++) {
                startUpstream();
            }
            createGateway(
                            "vm2",
                            secondCallerPort,
                            TestPorts.allocate(),
                            otherStore,
                            Optional.of(localAddress(peerPort)),
                            List.of())
                    .start();
            await("both gateways serve", () -> sendSound(callerPort) == 200 && sendSound(secondCallerPort) == 200);
            store.setMode(FakePlatformStore.Mode.HANGING);

            for (int i = 0; i < CRASHES_UNTIL_KNOWN && crashes.get() < 2; i++) {
                send(callerPort, CRASHING_PART + ":10,");
                pause(2 * PAUSE_MS);
            }
            pause(KNOWN_AFTER_MS);
            assertEquals(503, send(secondCallerPort, CRASHING_PART + ":10,"));
            assertEquals(2, crashes.get());
            assertEquals(200, sendSound(secondCallerPort));
        }
    }

    private void startUpstream() throws IOException {
        FakeHttpUpstream u = new FakeHttpUpstream("u" + nextUpstream.incrementAndGet(), this::answer);
        upstreams.add(u);
        for (FakePlatformStore s : stores) {
            s.put("servers/" + u.id(), u.entry("svc", "ready"));
        }
    }

    private void answer(FakeHttpUpstream.ReceivedRequest request, FakeHttpUpstream.Reply reply) throws IOException {
        reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        if (request.header("Citrontide-Prompt-Prefix").contains(CRASHING_PART + ":")) {
            crashingArrivals.incrementAndGet();
            crash(request.header("Citrontide-Expect-Instance"));
            return;
        }
        reply.writeChunk("id: 1\ndata: word\n\n");
        reply.write("0\r\n\r\n");
    }

    private synchronized void crash(String id) throws IOException {
        FakeHttpUpstream crashed =
                upstreams.stream().filter(u -> u.id().equals(id)).findFirst().orElseThrow();
        crashed.close();
        upstreams.remove(crashed);
        crashes.incrementAndGet();
        startUpstream();
        stores.forEach(s -> s.remove("servers/" + id));
    }

    private int sendSound(int port) {
        return send(port, "");
    }

    private void sendCrashing(int i) {
        send(i % 2 == 0 ? callerPort : secondCallerPort, CRASHING_PART + ":10,");
    }

    private int send(int port, String part) {
        int n = ++nextRequest;
        try (RawCaller c = new RawCaller(port)) {
            c.write("POST /stream/ HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: id-" + n
                    + "\r\nCitrontide-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n"
                    + "Citrontide-Prompt-Prefix: shared" + n % 3 + ":40," + part + "own" + n + ":600\r\n\r\n");
            return c.readResponse().status();
        } catch (IOException e) {
            return -1;
        }
    }
}
