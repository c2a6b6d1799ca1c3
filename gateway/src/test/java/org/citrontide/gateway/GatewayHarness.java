package org.citrontide.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

import static org.junit.jupiter.api.Assertions.assertTrue;

/** A gateway in this process, with a stand-in of the platform's store and upstreams. */
abstract class GatewayHarness {
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    final int callerPort = TestPorts.allocate();
    final int adminPort = TestPorts.allocate();
    final int peerPort = TestPorts.allocate();
    final List<FakeHttpUpstream> upstreams = new ArrayList<>();
    FakePlatformStore store;
    GatewayDaemon daemon;

    @BeforeEach
    void start() throws IOException {
        store = new FakePlatformStore();
        daemon = gateway(
                callerPort,
                adminPort,
                store,
                Optional.empty(),
                List.of(local(TestPorts.allocate()), local(TestPorts.allocate()), local(peerPort)));
        daemon.start();
    }

    static GatewayDaemon gateway(
            int callerPort,
            int adminPort,
            FakePlatformStore store,
            Optional<InetSocketAddress> peerAddress,
            List<InetSocketAddress> peers) {
        return new GatewayDaemon(
                new GatewaySettings(
                        "vm1",
                        "z1",
                        local(callerPort),
                        local(adminPort),
                        local(store.port()),
                        peerAddress,
                        peers,
                        100,
                        Duration.ofSeconds(8),
                        0.2,
                        Duration.ofSeconds(10),
                        600,
                        10),
                1);
    }

    static InetSocketAddress local(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    @AfterEach
    void stop() throws IOException {
        store.close();
        for (FakeHttpUpstream u : upstreams) {
            u.close();
        }
    }

    /** Adds an upstream and waits until the gateway is ready and knows it. */
    FakeHttpUpstream serve(String id, Script script) throws IOException {
        FakeHttpUpstream u = new FakeHttpUpstream(id, script);
        upstreams.add(u);
        store.put("servers/" + id, u.entry("svc", "ready"));
        store.put("op/config", configuration(7));
        long before = store.readCount();
        await("the gateway knows " + id, () -> store.readCount() >= before + 3 && readiness() == 200);
        return u;
    }

    static String configuration(int version) {
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

    int readiness() {
        try (RawCaller c = new RawCaller(adminPort)) {
            c.write("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            return c.read().status();
        } catch (IOException e) {
            return -1;
        }
    }

    static int status(RawCaller c, String target) {
        try {
            c.request("GET", target, "id-" + System.nanoTime(), "");
            return c.read().status();
        } catch (IOException e) {
            return -1;
        }
    }

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "waited in vain until " + what);
            pause(10);
        }
    }

    static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
