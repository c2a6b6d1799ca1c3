package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests what becomes of idle connections to an upstream that never tells of their end. */
final class IdleUpstreamConnectionTest extends GatewayHarness {
    private static final int CALLERS = 8;

    // Guards against descriptors that run out because upstreams drop idle connections without notice.
    @Test
    void idleConnectionsAreClosedOnceTheyCannotBeUsedAgain() throws IOException {
        CountDownLatch arrived = new CountDownLatch(CALLERS);
        FakeHttpUpstream upstream = addUpstream("a", (request, reply) -> {
            arrived.countDown();
            arrived.await();
            reply.writeHead("200 OK", "Keep-Alive: timeout=2\r\nContent-Length: 2\r\n");
            reply.write("ok");
        });
        List<RawCaller> callers = new ArrayList<>();
        try {
            for (int i = 0; i < CALLERS; i++) {
                RawCaller caller = new RawCaller(callerPort);
                callers.add(caller);
                caller.sendRequest("POST", "/book/", "id-" + i, "x");
            }
            for (RawCaller caller : callers) {
                assertEquals(200, caller.readResponse().status());
            }
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
        assertEquals(CALLERS, upstream.openConnections());
        await("the idle connections are closed", () -> upstream.openConnections() == 0);
    }
}
