package org.citrontide.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests two gateways over sockets in front of one upstream that announces in its entry and its responses that it is
 * cold. Guards against a configuration, an entry or a response whose statement doesn't reach the decision.
 */
final class ColdUpstreamTest extends GatewayHarness {
    private static final int COLD_PER_SECOND = 4;
    // The bound of the design page: 1.5 times the rate and 5 requests more in any second.
    private static final int MAX_IN_SECOND = 11;
    private static final int READS = 3;
    // New processes use half of the rate, and callers wait for one request after the other.
    private static final int MIN_ARRIVALS = 2;
    private static final int COLD_MS = 3_000;

    private final int secondCallerPort = TestPorts.allocate();
    private final List<Long> arrivalMs = new CopyOnWriteArrayList<>();
    private volatile boolean isCold;

    @Test
    void aColdUpstreamGetsNoMoreRequestsThanItsServiceSays() throws IOException {
        String rule = "\"name\":\"svc\",\"cold_s\":60,\"cold_per_s\":" + COLD_PER_SECOND;
        store.put("op/config", configuration(7).replace("\"name\":\"svc\"", rule));
        FakeHttpUpstream u = new FakeHttpUpstream("u", this::answer);
        upstreams.add(u);
        store.put("servers/u", u.entry("svc", "ready"));
        createGateway("vm2", secondCallerPort, TestPorts.allocate(), store, Optional.empty(), List.of())
                .start();
        await("both gateways serve", () -> requestOnce(callerPort) == 200 && requestOnce(secondCallerPort) == 200);
        await(
                "both gateways are registered",
                () -> store.has("citrontide/gateways/vm1") && store.has("citrontide/gateways/vm2"));
        long readsBefore = store.readCount();
        await("both gateways know of each other", () -> store.readCount() >= readsBefore + 2 * READS);
        isCold = true;
        requestOnce(callerPort);
        requestOnce(secondCallerPort);
        arrivalMs.clear();
        long endMs = nowMs() + COLD_MS;
        for (int i = 0; nowMs() < endMs; i++) {
            requestOnce(i % 2 == 0 ? callerPort : secondCallerPort);
        }
        assertTrue(arrivalMs.size() >= MIN_ARRIVALS, arrivalMs.size() + " requests in all");
        for (long from : arrivalMs) {
            long count = arrivalMs.stream()
                    .filter(ms -> ms >= from && ms < from + TimeUnit.SECONDS.toMillis(1))
                    .count();
            assertTrue(count <= MAX_IN_SECOND, count + " requests in a second");
        }
        String metrics = metrics();
        assertTrue(metrics.contains("citrontide_gateway_cold_upstreams{service=\"svc\"}"), metrics);
        assertTrue(metrics.contains("citrontide_gateway_cold_held_total{service=\"svc\"}"), metrics);
    }

    private void answer(FakeHttpUpstream.ReceivedRequest request, FakeHttpUpstream.Reply reply) throws IOException {
        arrivalMs.add(nowMs());
        reply.write("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: " + request.header("Citrontide-Attempt-Id")
                + "\r\nCitrontide-Response-Stamp: s\r\nCitrontide-Cold-Ms: " + (isCold ? COLD_MS : 0)
                + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
    }

    private static int requestOnce(int port) {
        try (RawCaller caller = new RawCaller(port)) {
            return requestStatus(caller, "/look/");
        } catch (IOException e) {
            return -1;
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
