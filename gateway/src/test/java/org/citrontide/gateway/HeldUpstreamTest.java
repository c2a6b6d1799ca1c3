package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.citrontide.fakes.net.HoldingProxy;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.ReceivedRequest;
import org.citrontide.fakes.platform.FakeHttpUpstream.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with upstreams whose path holds up bytes and delivers them when it opens again. */
final class HeldUpstreamTest extends GatewayHarness {
    private static final int REQUESTS = 8;
    private static final int REQUESTS_THAT_SHOW_PROGRESS = 10;
    // More than the receive buffers of the path hold, less than the gateway's socket does.
    private static final String BODY = "x".repeat(60 * 1024);
    // Longer than the time that callers set.
    private static final long HELD_MS = 3500;
    private static final long AFTER_RELEASE_MS = 1500;

    private final List<HoldingProxy> paths = new ArrayList<>();
    // The ID of each request that an upstream received completely, in order of arrival.
    private final List<String> arrivals = new CopyOnWriteArrayList<>();
    private final List<RawCaller> callers = new ArrayList<>();

    @AfterEach
    void closePaths() throws IOException {
        for (RawCaller caller : callers) {
            caller.close();
        }
        for (HoldingProxy path : paths) {
            path.close();
        }
    }

    // Guards against attempts that were given up and reach their upstream in a burst when a cut ends.
    @ParameterizedTest
    @ValueSource(strings = {"/look/", "/book/"})
    void attemptsGivenUpWhileHeldUpDoNotArriveLater(String target) throws IOException {
        addHeld();
        sendAll(target);
        for (RawCaller caller : callers) {
            assertEquals(504, caller.readResponse().status());
        }
        checkNoneArrives();
    }

    // Guards against retries that pass the budget because the attempts that they replaced arrive after all.
    @Test
    void attemptsReplacedWhileHeldUpDoNotArriveBesideTheirRetries() throws IOException {
        addHeld();
        add(new FakeHttpUpstream("b", this::answer));
        sendAll("/stream/");
        for (int i = 0; i < REQUESTS_THAT_SHOW_PROGRESS; i++) {
            pause(250);
            RawCaller caller = new RawCaller(callerPort);
            callers.add(caller);
            caller.sendRequest("POST", "/stream/", "progress-" + i, "");
        }
        pause(HELD_MS);
        assertTrue(metrics().contains("attempts_given_up_total{progress=\"written\"}"), "no attempt was held up");
        assertEquals(Set.copyOf(arrivals).size(), arrivals.size());
        openPaths();
        assertEquals(Set.copyOf(arrivals).size(), arrivals.size(), "arrivals of " + arrivals);
    }

    // Guards against requests that reach an upstream long after their caller has left.
    @Test
    void attemptsWhoseCallersLeftWhileHeldUpDoNotArriveLater() throws IOException {
        addHeld();
        sendAll("/look/");
        pause(500);
        for (RawCaller caller : callers) {
            caller.close();
        }
        pause(HELD_MS);
        checkNoneArrives();
    }

    // Guards against an upstream that works on for a caller that has left.
    @Test
    void upstreamAtWorkSeesWithinHalfASecondThatTheCallerLeft() throws IOException {
        FakeHttpUpstream upstream = addUpstream("a", (r, reply) -> reply.awaitClose());
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", "/look/", "id-1", "");
            await("the request arrives", () -> upstream.requests().size() == 1);
        }
        pause(500);
        assertEquals(0, upstream.openConnections());
    }

    private void addHeld() throws IOException {
        FakeHttpUpstream upstream = new FakeHttpUpstream("a", this::answer);
        String entry = upstream.entry("svc", "ready");
        HoldingProxy path = new HoldingProxy(Integer.parseInt(entry.replaceAll(".*127.0.0.1:([0-9]+).*", "$1")));
        paths.add(path);
        add(upstream);
        long readsBefore = store.readCount();
        store.put("servers/a", entry.replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:" + path.port()));
        await("the gateway knows the path", () -> store.readCount() >= readsBefore + 3);
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", "/look/", "open-path", BODY);
            assertEquals(200, caller.readResponse().status());
        }
        path.setHeld(true);
        arrivals.clear();
    }

    private void answer(ReceivedRequest request, Reply reply) throws IOException {
        if (request.body().length() == BODY.length()) {
            arrivals.add(request.header("Citrontide-Attempt-Id"));
        }
        reply.writeResponse("200 OK", "id: 1\ndata: done\n\n");
    }

    private void sendAll(String target) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            RawCaller caller = new RawCaller(callerPort);
            callers.add(caller);
            caller.sendRequest("POST", target, "id-" + i, BODY);
        }
    }

    private void checkNoneArrives() {
        assertTrue(metrics().contains("attempts_given_up_total{progress=\"written\"} " + REQUESTS + ".0"));
        assertEquals(List.of(), arrivals, "the path was not held up");
        openPaths();
        assertEquals(List.of(), arrivals, "requests that were given up");
    }

    private void openPaths() {
        paths.forEach(path -> path.setHeld(false));
        pause(AFTER_RELEASE_MS);
    }
}
