package org.citrontide.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how many repeated requests reach the upstreams of a service from eight gateways together. */
final class RetryBudgetTest extends GatewayHarness {
    private static final int GATEWAYS = 8;
    private static final int PLAY_MS = 24_000;
    private static final int REQUEST_INTERVAL_MS = 60;
    private static final int EVACUATION_MS = 700;
    private static final int WINDOW_MS = 10_000;
    private static final int SLACK = 92;
    private static final double RATIO = 0.2;

    private final ConcurrentLinkedQueue<Long> requestMs = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> repeatMs = new ConcurrentLinkedQueue<>();
    private final Set<String> arrivedIds = ConcurrentHashMap.newKeySet();
    private final SplittableRandom random = new SplittableRandom(62);

    /**
     * Guards against repeats over the budget: answers are refused, cut and reset, an upstream has no listener, and one
     * is in a zone that is evacuated again and again, so that unsent attempts are withdrawn.
     */
    @Test
    void eightGatewaysKeepTheBudgetOfAServiceTogether() throws Exception {
        store.put("op/config", configuration(7));
        for (int i = 0; i < 6; i++) {
            add(new FakeHttpUpstream("u" + i, this::answer));
        }
        FakeHttpUpstream evacuated = new FakeHttpUpstream("evacuated", this::answer);
        upstreams.add(evacuated);
        store.put("servers/evacuated", evacuated.entry("svc", "ready").replace("\"z1\"", "\"z2\""));
        store.put(
                "servers/unreachable",
                evacuated.entry("svc", "ready").replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:" + TestPorts.allocate()));
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            int port = TestPorts.allocate();
            int admin = TestPorts.allocate();
            ports.add(port);
            createGateway("w" + i, port, admin, store, Optional.empty(), List.of(), Duration.ofSeconds(8), SLACK)
                    .start();
            await("gateway " + i + " is ready", () -> readinessStatus(admin) == 200);
        }
        long endMs = nowMs() + PLAY_MS;
        List<Thread> callers = new ArrayList<>();
        for (int port : ports) {
            for (String target : List.of("/look/", "/stream/", "/book/")) {
                callers.add(Thread.ofVirtual().start(() -> sendUntil(endMs, port, target)));
            }
        }
        for (int i = 0; nowMs() < endMs; i++) {
            if (i % 2 == 0) {
                store.put("op/evacuate/z2", "");
            } else {
                store.remove("op/evacuate/z2");
            }
            pause(EVACUATION_MS);
        }
        for (Thread t : callers) {
            t.join();
        }
        assertTrue(repeatMs.size() > SLACK, repeatMs.size() + " repeats in all");
        double share = greatestShare();
        System.out.printf(
                "retry-budget requests=%d repeats=%d greatest-share=%.2f%n", requestMs.size(), repeatMs.size(), share);
        assertTrue(share <= 1, share + " of the allowed repeats in a window");
        assertEquals(GATEWAYS * 3, callers.size());
    }

    /** Returns the greatest fraction of the allowed repeats that arrived in any window. */
    private double greatestShare() {
        double greatest = 0;
        for (long end : repeatMs) {
            long start = end - WINDOW_MS;
            long requests = Math.max(
                    count(requestMs, start, end),
                    Math.max(
                            count(requestMs, start - WINDOW_MS, start),
                            count(requestMs, start - WINDOW_MS / 2, end - WINDOW_MS / 2)));
            greatest = Math.max(greatest, count(repeatMs, start, end) / (RATIO * requests + SLACK));
        }
        return greatest;
    }

    private static long count(ConcurrentLinkedQueue<Long> times, long from, long to) {
        return times.stream().filter(t -> t > from && t <= to).count();
    }

    private void sendUntil(long endMs, int port, String target) {
        while (nowMs() < endMs) {
            try (RawCaller caller = new RawCaller(port)) {
                requestMs.add(nowMs());
                caller.sendRequest("GET", target, "id-" + port + target + System.nanoTime(), "");
                caller.readResponse();
            } catch (IOException e) {
                // A response that is cut off ends the connection.
            }
            pause(REQUEST_INTERVAL_MS);
        }
    }

    private void answer(FakeHttpUpstream.ReceivedRequest request, FakeHttpUpstream.Reply reply) throws IOException {
        if (!arrivedIds.add(request.header("Citrontide-Attempt-Id"))) {
            repeatMs.add(nowMs());
        }
        int outcome;
        synchronized (random) {
            outcome = random.nextInt(10);
        }
        if (outcome < 2) {
            reply.writeHead("503 Busy", "Citrontide-Not-Executed: 1\r\nContent-Length: 0\r\n");
        } else if (outcome < 4) {
            reply.writeHead("200 OK", "Content-Length: 100\r\n");
            reply.reset();
        } else if (outcome < 6) {
            reply.reset();
        } else {
            reply.writeResponse("200 OK", "done");
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
