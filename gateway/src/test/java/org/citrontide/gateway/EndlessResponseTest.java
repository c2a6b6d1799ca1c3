package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with an upstream that sends bytes without end. */
final class EndlessResponseTest extends GatewayHarness {
    private static final int CALLERS = 12;
    // Less than the limit on a single response, so that only the sum of all responses passes a limit.
    private static final int UNFINISHED_BYTES = 7 * 1024 * 1024;
    private static final String BLOCK = "x".repeat(64 * 1024);

    // Guards against a process that runs out of memory because it keeps the endless responses of one upstream.
    @Test
    void unfinishedResponsesTogetherStayWithinTheirMemory() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        addUpstream("a", (r, reply) -> {
            if (r.requestLine().contains("/small")) {
                reply.writeResponse("200 OK", "small");
                return;
            }
            reply.writeHead("200 OK", "Content-Length: 100000000\r\n");
            for (int bytes = 0; bytes < UNFINISHED_BYTES; bytes += BLOCK.length()) {
                reply.write(BLOCK);
            }
            sent.incrementAndGet();
            reply.awaitClose();
        });
        List<Integer> statuses = new ArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String target = "/book/" + i;
            callers.add(Thread.ofVirtual().start(() -> {
                try (RawCaller c = new RawCaller(callerPort)) {
                    int status = requestStatus(c, target);
                    synchronized (statuses) {
                        statuses.add(status);
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        long peak = 0;
        for (int i = 0; i < 15; i++) {
            peak = Math.max(peak, responseBytes());
            pause(100);
        }
        assertTrue(peak > RESPONSE_MEMORY_BYTES / 4, "kept " + peak + " bytes");
        assertTrue(peak <= RESPONSE_MEMORY_BYTES, "kept " + peak + " bytes");
        try (RawCaller c = new RawCaller(callerPort)) {
            assertEquals(200, requestStatus(c, "/look/small"));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        assertEquals(CALLERS, statuses.size());
        assertTrue(statuses.stream().allMatch(s -> s == 502 || s == 504), statuses.toString());
        await("the memory is released", () -> responseBytes() == 0);
    }

    // Guards against a head that grows until the process has no memory left.
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n", ""})
    void endlessHeadEndsItsAttempt(String start) throws IOException {
        boolean hasLines = start.endsWith("\n");
        addUpstream("a", (r, reply) -> {
            reply.write(start);
            while (true) {
                reply.write(hasLines ? "Field: value\r\n".repeat(1000) : BLOCK);
            }
        });
        for (String target : List.of("/book/", "/look/", "/stream/")) {
            try (RawCaller c = new RawCaller(callerPort)) {
                c.sendRequest("POST", target, "id" + target, "");
                assertEquals(502, c.readResponse().status(), target);
            }
        }
    }

    // Guards against events that pile up in the process while their caller does not read them.
    @ParameterizedTest
    @ValueSource(strings = {"id: %d\ndata: %s\n\n", ": %d %s\n\n"})
    void endlessStreamWaitsForItsCaller(String event) throws IOException {
        AtomicLong written = new AtomicLong();
        FakeHttpUpstream u = addUpstream("a", (r, reply) -> {
            reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            for (int i = 1; ; i++) {
                String text = event.formatted(i, "x".repeat(8000));
                reply.writeChunk(text);
                written.addAndGet(text.length());
            }
        });
        try (RawCaller c = RawCaller.withSmallReceiveBuffer(callerPort)) {
            c.sendRequest("POST", "/stream/", "id-1", "");
            pause(2500);
            assertTrue(written.get() > 100_000, "sent " + written + " bytes");
            assertTrue(written.get() < 2 * RESPONSE_MEMORY_BYTES, "the gateway took " + written + " bytes");
        }
        await("the attempt ends with its caller", () -> u.openConnections() == 0);
    }

    private long responseBytes() {
        return metrics()
                .lines()
                .filter(line -> line.startsWith("citrontide_gateway_response_bytes "))
                .map(line -> (long) Double.parseDouble(line.substring(line.indexOf(' '))))
                .findFirst()
                .orElse(-1L);
    }
}
