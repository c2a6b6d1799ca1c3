package org.citrontide.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.expertmap.ControlCosts;
import org.citrontide.core.warmup.ColdSettings;
import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.citrontide.gateway.daemon.GatewayDaemon;
import org.citrontide.gateway.daemon.GatewaySettings;
import org.citrontide.gateway.daemon.LocalitySettings;
import org.citrontide.gateway.daemon.MemorySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Base class of tests that run a gateway in the process of the test, with a fake platform store and fake upstreams. */
abstract class GatewayHarness {
    static final ColdSettings COLD_SETTINGS = new ColdSettings(1.5, 5);
    static final int RESPONSE_MEMORY_BYTES = 16 * 1024 * 1024;

    // The body times are shorter than the timeouts of the callers of these tests; other tests send whole requests.
    private static final MemorySettings MEMORY = new MemorySettings(
            16 * 1024 * 1024,
            4 * 1024 * 1024,
            Duration.ofSeconds(3),
            Duration.ofSeconds(6),
            1024,
            Duration.ofMillis(200));

    private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);
    private static final int RETRY_SLACK = 600;
    private static final double LINK_MEGABITS_PER_SECOND = 1000;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

    // Tests run one after the other.
    private static final List<GatewayDaemon> DAEMONS = new ArrayList<>();

    final int callerPort = TestPorts.allocate();
    final int adminPort = TestPorts.allocate();
    final int peerPort = TestPorts.allocate();
    final List<FakeHttpUpstream> upstreams = new ArrayList<>();
    FakePlatformStore store;
    GatewayDaemon daemon;

    @BeforeEach
    void start() throws IOException {
        store = new FakePlatformStore();
        daemon = createGateway(
                "vm1",
                callerPort,
                adminPort,
                store,
                Optional.empty(),
                List.of(
                        localAddress(TestPorts.allocate()),
                        localAddress(TestPorts.allocate()),
                        localAddress(peerPort)));
        daemon.start();
    }

    static GatewayDaemon createGateway(
            String vm,
            int callerPort,
            int adminPort,
            FakePlatformStore store,
            Optional<InetSocketAddress> peerAddress,
            List<InetSocketAddress> peers) {
        return createGateway(vm, callerPort, adminPort, store, peerAddress, peers, Duration.ofSeconds(8));
    }

    static GatewayDaemon createGateway(
            String vm,
            int callerPort,
            int adminPort,
            FakePlatformStore store,
            Optional<InetSocketAddress> peerAddress,
            List<InetSocketAddress> peers,
            Duration stopLimit) {
        return createGateway(vm, callerPort, adminPort, store, peerAddress, peers, stopLimit, RETRY_SLACK);
    }

    static GatewayDaemon createGateway(
            String vm,
            int callerPort,
            int adminPort,
            FakePlatformStore store,
            Optional<InetSocketAddress> peerAddress,
            List<InetSocketAddress> peers,
            Duration stopLimit,
            int retrySlack) {
        GatewayDaemon created = new GatewayDaemon(
                new GatewaySettings(
                        vm,
                        "z1",
                        localAddress(callerPort),
                        localAddress(adminPort),
                        localAddress(store.port()),
                        peerAddress,
                        peers,
                        100,
                        LINK_MEGABITS_PER_SECOND,
                        stopLimit,
                        Duration.ofSeconds(2),
                        0.2,
                        RETRY_WINDOW,
                        retrySlack,
                        10,
                        RESPONSE_MEMORY_BYTES,
                        MEMORY,
                        LocalitySettings.NONE,
                        COLD_SETTINGS,
                        ControlCosts.NONE,
                        PlacementSettings.COUNTED,
                        120),
                1,
                // A process allows no retry in its first window.
                System.nanoTime() - RETRY_WINDOW.toNanos());
        DAEMONS.add(created);
        return created;
    }

    static InetSocketAddress localAddress(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    @AfterEach
    void stop() throws IOException {
        DAEMONS.forEach(GatewayDaemon::close);
        DAEMONS.clear();
        store.close();
        for (FakeHttpUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    /** Adds an upstream and waits until the gateway is ready and has read the upstream's entry. */
    FakeHttpUpstream addUpstream(String id, Script script) throws IOException {
        return add(new FakeHttpUpstream(id, script));
    }

    /** Adds an upstream and waits until the gateway is ready and has read the upstream's entry. */
    FakeHttpUpstream add(FakeHttpUpstream upstream) {
        String id = upstream.id();
        upstreams.add(upstream);
        store.put("servers/" + id, upstream.entry("svc", "ready"));
        store.put("op/config", configuration(7));
        long readsBefore = store.readCount();
        await("the gateway knows " + id, () -> store.readCount() >= readsBefore + 3 && readinessStatus() == 200);
        return upstream;
    }

    static String configuration(int version) {
        return configuration(version, List.of(""));
    }

    /** Returns a configuration with the usual routes and a service for each suffix of their names. */
    static String configuration(int version, List<String> suffixes) {
        String routes = suffixes.stream()
                .map(s -> route("book", "unsafe", s, "") + "," + route("look", "safe", s, "") + ","
                        + route("stream", "streaming", s, ",\"can_resume\":true,\"target_gap_ms\":120"))
                .collect(Collectors.joining(","));
        String services = suffixes.stream()
                .map(s -> "{\"name\":\"svc" + s + "\",\"max_connections\":50}")
                .collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[" + services + "],\"limits\":{\"max_header_bytes\":2048,"
                + "\"max_body_bytes\":65536,\"header_timeout_ms\":700,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"rangers\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static String route(String name, String kind, String suffix, String extraFields) {
        return "{\"name\":\"" + name + suffix + "\",\"hostname\":\"h.example\",\"prefix\":\"/" + name + suffix
                + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"svc" + suffix + "\","
                + "\"max_attempts\":2" + extraFields + "}";
    }

    int readinessStatus() {
        return readinessStatus(adminPort);
    }

    static int readinessStatus(int adminPort) {
        try (RawCaller caller = new RawCaller(adminPort)) {
            caller.write("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            return caller.readResponse().status();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns the page with the metrics of the gateway, empty if it can't be read. */
    String metrics() {
        try (RawCaller caller = new RawCaller(adminPort)) {
            caller.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
            return caller.readResponse().body();
        } catch (IOException e) {
            return "";
        }
    }

    static int requestStatus(RawCaller caller, String target) {
        try {
            caller.sendRequest("GET", target, "id-" + System.nanoTime(), "");
            return caller.readResponse().status();
        } catch (IOException e) {
            return -1;
        }
    }

    static void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "timed out waiting until " + description);
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
