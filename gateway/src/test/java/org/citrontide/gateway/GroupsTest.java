package org.citrontide.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with a service of two groups, one of which breaks and forms again. */
final class GroupsTest extends GatewayHarness {
    private static final int REQUESTS = 60;
    // The interval of probes plus the longest wait of a request at the gateway.
    private static final int MAX_DETECTION_MS = 2_000;
    private static final String REPORT =
            "{\"group\":{\"name\":\"%s\",\"epoch\":1,\"rank\":0,\"state\":\"%s\"},\"size\":3,"
                    + "\"step\":1,\"mapping\":0,\"pace\":1,\"running\":0,\"waiting\":0}";

    private final AtomicBoolean isBroken = new AtomicBoolean(true);

    @Test
    void brokenGroupReceivesNoRequestsUntilItsReportsShowThatItIsOpen() throws IOException {
        Script broken = (r, reply) -> answer(r, reply, "g0", isBroken.get());
        Script sound = (r, reply) -> answer(r, reply, "g1", false);
        store.put("citrontide/groups/svc", "{\"g0\":[\"a1\",\"a2\",\"a3\"],\"g1\":[\"b\"]}");
        addUpstream("a1", broken);
        addUpstream("a2", broken);
        addUpstream("a3", broken);
        addUpstream("b", sound);
        try (RawCaller c = new RawCaller(callerPort)) {
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(200, requestStatus(c, "/look/"));
            }
            long rejected = countRequests("/look/", "a");
            assertTrue(rejected <= 1, rejected + " requests sent to the broken group");
            isBroken.set(false);
            await("the group receives requests again", () -> {
                assertEquals(200, requestStatus(c, "/look/"));
                return countRequests("/look/", "a") > rejected;
            });
        }
    }

    @Test
    void requestsAreServedAgainSoonAfterBothGroupsWereBroken() throws IOException {
        Script script = (r, reply) -> answer(r, reply, "g0", isBroken.get());
        store.put("citrontide/groups/svc", "{\"g0\":[\"a\"],\"g1\":[\"b\"]}");
        addUpstream("a", script);
        addUpstream("b", (r, reply) -> answer(r, reply, "g1", isBroken.get()));
        try (RawCaller c = new RawCaller(callerPort)) {
            assertEquals(503, requestStatus(c, "/look/"));
            isBroken.set(false);
            long recoveredNanos = System.nanoTime();
            await("a request is served", () -> requestStatus(c, "/look/") == 200);
            long ms = Duration.ofNanos(System.nanoTime() - recoveredNanos).toMillis();
            assertTrue(ms < MAX_DETECTION_MS, "served after " + ms + " ms");
        }
    }

    private long countRequests(String path, String idPrefix) {
        return upstreams.stream()
                .filter(u -> u.id().startsWith(idPrefix))
                .flatMap(u -> u.requests().stream())
                .filter(r -> r.requestLine().contains(path))
                .count();
    }

    private static void answer(
            FakeHttpUpstream.ReceivedRequest r, FakeHttpUpstream.Reply reply, String group, boolean isGroupBroken)
            throws IOException {
        if (r.requestLine().contains("/-/report")) {
            reply.writeResponse("200 OK", REPORT.formatted(group, isGroupBroken ? "broken" : "open"));
        } else if (isGroupBroken) {
            reply.writeHead(
                    "503 Service Unavailable",
                    "Citrontide-Not-Executed: 1\r\nAt-Server: other\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n");
        } else {
            reply.writeResponse("200 OK", "ran");
        }
    }
}
