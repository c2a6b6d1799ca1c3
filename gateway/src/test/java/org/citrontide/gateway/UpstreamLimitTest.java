package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests two gateways over sockets while one of their upstreams names a limit on the rate of its requests. */
final class UpstreamLimitTest extends GatewayHarness {
    private static final double LIMIT_PER_SECOND = 2;
    private static final int REQUESTS_PER_SECOND = 30;
    private static final int LIMITED_SECONDS = 9;
    // From the users' pages: within 4 s, counted from 3 s after the limit was first named, an upstream may get one and
    // a half times what its limit allows and 5 requests more.
    private static final int GRACE_MS = 3000;
    private static final int WINDOW_MS = 4000;
    private static final double MAX_ARRIVALS = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1000 + 5;

    private final int secondCallerPort = TestPorts.allocate();
    private final List<Long> limitedArrivalMs = new CopyOnWriteArrayList<>();
    private volatile boolean isLimited;

    @Test
    void anUpstreamGetsNoMoreRequestsThanTheLimitThatItNamedToAllGateways() throws IOException {
        store.put("op/config", configuration(7));
        startUpstream("limited", this::answerWithLimit);
        startUpstream("other", (r, reply) -> {
            // The slower one of the two, so that gateways prefer the other.
            pause(50);
            reply.writeResponse("200 OK", "other");
        });
        createGateway("vm2", secondCallerPort, TestPorts.allocate(), store, Optional.empty(), List.of())
                .start();
        try (RawCaller first = new RawCaller(callerPort);
                RawCaller second = new RawCaller(secondCallerPort)) {
            await(
                    "both gateways serve and know of each other",
                    () -> requestStatus(first, "/look/") == 200
                            && requestStatus(second, "/look/") == 200
                            && store.has("citrontide/gateways/vm1")
                            && store.has("citrontide/gateways/vm2"));
            isLimited = true;
            long startMs = nowMs();
            sendRequests(first, second, LIMITED_SECONDS);
            isLimited = false;
            List<Long> counted = limitedArrivalMs.stream()
                    .filter(ms -> ms >= startMs + GRACE_MS)
                    .toList();
            for (long from : counted) {
                long arrivals = counted.stream()
                        .filter(ms -> ms >= from && ms < from + WINDOW_MS)
                        .count();
                assertTrue(arrivals <= MAX_ARRIVALS, arrivals + " requests in 4 s, " + MAX_ARRIVALS + " allowed");
            }
            assertTrue(counted.size() >= LIMITED_SECONDS - GRACE_MS / 1000, "the upstream is not used any more");
            int before = limitedArrivalMs.size();
            sendRequests(first, second, 3);
            assertTrue(limitedArrivalMs.size() - before > MAX_ARRIVALS, "the limit does not end with the answers");
        }
    }

    private void sendRequests(RawCaller first, RawCaller second, int seconds) {
        List<Integer> statuses = new ArrayList<>();
        long endMs = nowMs() + TimeUnit.SECONDS.toMillis(seconds);
        for (int i = 0; nowMs() < endMs; i++) {
            statuses.add(requestStatus(i % 2 == 0 ? first : second, "/look/"));
            pause(1000 / REQUESTS_PER_SECOND);
        }
        assertEquals(List.of(), statuses.stream().filter(s -> s != 200).toList());
    }

    private void startUpstream(String id, FakeHttpUpstream.Script script) throws IOException {
        FakeHttpUpstream u = new FakeHttpUpstream(id, script);
        upstreams.add(u);
        store.put("servers/" + id, u.entry("svc", "ready"));
    }

    private void answerWithLimit(FakeHttpUpstream.ReceivedRequest request, FakeHttpUpstream.Reply reply)
            throws IOException {
        limitedArrivalMs.add(nowMs());
        String limit = isLimited ? "Server-Limit: " + LIMIT_PER_SECOND + "\r\n" : "";
        reply.write("HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: " + request.header("Citrontide-Attempt-Id")
                + "\r\nCitrontide-Response-Stamp: s\r\n" + limit
                + "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
