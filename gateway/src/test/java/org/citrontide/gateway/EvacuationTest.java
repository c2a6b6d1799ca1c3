package org.citrontide.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests gateways over sockets whose operator evacuates zones while the store or other gateways fail. */
final class EvacuationTest extends GatewayHarness {
    // From the users' pages: time from the acknowledgement of the store to the last request sent to the zone.
    private static final int EVACUATE_MS = 5000;
    // The zone of the gateways, whose upstream they prefer.
    private static final String KEY = "op/evacuate/z1";

    private FakeHttpUpstream near;
    private FakeHttpUpstream far;

    // Guards against an evacuation that ends with the connection to the store.
    @Test
    void anEvacuationHoldsWhileTheStoreIsAwayAndEndsWithItsKey() throws IOException {
        addUpstreams();
        try (RawCaller caller = new RawCaller(callerPort)) {
            assertTrue(arrivalsAtNear(caller, 40) > 0, "the zone is used");
            store.put(KEY, "");
            await("the gateway knows of the evacuation", () -> metrics().contains("evacuated_zones 1.0"));
            store.setMode(FakePlatformStore.Mode.REFUSING);
            store.remove(KEY);
            long startNanos = System.nanoTime();
            while (System.nanoTime() - startNanos < EVACUATE_MS * 1_000_000L) {
                assertEquals(0, arrivalsAtNear(caller, 20));
                pause(100);
            }
            store.setMode(FakePlatformStore.Mode.UP);
            await("the gateway knows of the return", () -> metrics().contains("evacuated_zones 0.0"));
            assertTrue(arrivalsAtNear(caller, 40) > 0, "the zone is used again");
        }
    }

    // Guards against an evacuation that comes into force too late.
    @Test
    void anEvacuationIsInForceWithinItsLimit() throws IOException {
        addUpstreams();
        try (RawCaller caller = new RawCaller(callerPort)) {
            assertTrue(arrivalsAtNear(caller, 40) > 0, "the zone is used");
            store.put(KEY, "not JSON");
            pause(EVACUATE_MS);
            assertEquals(0, arrivalsAtNear(caller, 100));
            store.put("op/evacuate/z2", "{}");
            await("both zones are evacuated", () -> metrics().contains("evacuated_zones 2.0"));
            long startNanos = System.nanoTime();
            caller.sendRequest("GET", "/look/", "id-last", "");
            RawCaller.Response refusal = caller.readResponse();
            assertEquals(503, refusal.status());
            assertEquals("not-run", refusal.header("Citrontide-Verdict"));
            assertTrue(System.nanoTime() - startNanos < 500_000_000L, "refused immediately");
        }
    }

    // Guards against a process that serves from a store with evacuated zones without knowing of them.
    @Test
    void aGatewayThatStartsDuringAnEvacuationSendsNothingThere() throws IOException {
        addUpstreams();
        store.put(KEY, "");
        int secondCallerPort = TestPorts.allocate();
        int secondAdminPort = TestPorts.allocate();
        createGateway("vm2", secondCallerPort, secondAdminPort, store, Optional.empty(), List.of())
                .start();
        await("the second gateway is ready", () -> readinessStatus(secondAdminPort) == 200);
        try (RawCaller caller = new RawCaller(secondCallerPort)) {
            assertEquals(0, arrivalsAtNear(caller, 40));
        }
    }

    // Guards against copies of the store that leave out the evacuated zones.
    @Test
    void aGatewayThatReadsThePeersCopySendsNothingThere() throws IOException {
        addUpstreams();
        // A value of the largest size must not make the copy unreadable.
        store.put(KEY, "x".repeat(1_000_000));
        int firstAdminPort = TestPorts.allocate();
        createGateway(
                        "vm2",
                        TestPorts.allocate(),
                        firstAdminPort,
                        store,
                        Optional.of(localAddress(peerPort)),
                        List.of())
                .start();
        await("the peer is ready", () -> readinessStatus(firstAdminPort) == 200);
        int secondCallerPort = TestPorts.allocate();
        try (FakePlatformStore unavailable = new FakePlatformStore()) {
            unavailable.setMode(FakePlatformStore.Mode.REFUSING);
            int secondAdminPort = TestPorts.allocate();
            createGateway(
                            "vm3",
                            secondCallerPort,
                            secondAdminPort,
                            unavailable,
                            Optional.empty(),
                            List.of(localAddress(peerPort)))
                    .start();
            await("the gateway has read the copy", () -> readinessStatus(secondAdminPort) == 200);
            try (RawCaller caller = new RawCaller(secondCallerPort)) {
                assertEquals(0, arrivalsAtNear(caller, 40));
            }
        }
    }

    private void addUpstreams() throws IOException {
        near = addUpstream("near", (r, reply) -> reply.writeResponse("200 OK", "near"));
        far = new FakeHttpUpstream("far", (r, reply) -> {
            // The slower one of the two, so that gateways prefer the other whenever they may.
            pause(15);
            reply.writeResponse("200 OK", "far");
        });
        upstreams.add(far);
        store.put("servers/far", far.entry("svc", "ready").replace("\"zone\":\"z1\"", "\"zone\":\"z2\""));
        int readsBefore = store.readCount();
        await("the gateway knows far", () -> store.readCount() >= readsBefore + 3);
    }

    /** Sends requests, all of which must succeed; returns how many of them reached the upstream in zone z1. */
    private int arrivalsAtNear(RawCaller caller, int requests) {
        int farBefore = far.requests().size();
        int nearBefore = near.requests().size();
        for (int i = 0; i < requests; i++) {
            assertEquals(200, requestStatus(caller, "/look/"));
        }
        int nearArrivals = near.requests().size() - nearBefore;
        assertEquals(requests, nearArrivals + far.requests().size() - farBefore);
        return nearArrivals;
    }
}
