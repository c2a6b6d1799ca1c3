package org.citrontide.gateway;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests callers who take longer than the idle timeout to read a response. */
final class SlowReaderTest extends GatewayHarness {
    // More than the sockets between a gateway and its caller take.
    private static final int BODY_BYTES = 8 * 1000 * 1000;
    private static final int IDLE_TIMEOUT_MS = 500;
    // Timeouts are checked several times a second.
    private static final int PAUSE_MS = 2500;

    // Guards against a booking that ran and whose response is cut off while its caller reads it.
    @Test
    void aResponseIsDeliveredWholeToACallerWhoPausesLongerThanTheIdleTimeout() throws IOException {
        try (RawCaller caller = sendAndPause()) {
            RawCaller.Response response = caller.readResponse();
            assertEquals(200, response.status());
            assertTrue(
                    response.isComplete(),
                    () -> "bytes read: " + response.body().length());
        }
    }

    // Guards against connections that are kept after the idle timeout because a slow response came before.
    @Test
    void theConnectionIsClosedAsIdleAfterTheResponse() throws IOException {
        try (RawCaller caller = sendAndPause()) {
            assertTrue(caller.readResponse().isComplete());
            assertEquals("", caller.readToEnd());
        }
    }

    /** Sends a request whose response exceeds the sockets, and leaves the response unread for a while. */
    private RawCaller sendAndPause() throws IOException {
        addUpstreamWithLargeResponses();
        RawCaller caller = RawCaller.withSmallReceiveBuffer(callerPort);
        caller.sendRequest("POST", "/book/", "id-1", "x");
        pause(PAUSE_MS);
        return caller;
    }

    private void addUpstreamWithLargeResponses() throws IOException {
        String body = "x".repeat(BODY_BYTES);
        addUpstream("a", (request, reply) -> reply.writeResponse("200 OK", body));
        store.put(
                "op/config",
                configuration(8).replace("\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":" + IDLE_TIMEOUT_MS));
        int reads = store.readCount();
        await("the idle timeout is in force", () -> store.readCount() >= reads + 3);
    }
}
