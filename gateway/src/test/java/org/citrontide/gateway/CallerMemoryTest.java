package org.citrontide.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway with callers that send, or hold back, requests of the largest allowed size. */
final class CallerMemoryTest extends GatewayHarness {
    private static final int BODY_BYTES = 4 * 1024 * 1024;
    private static final int CROWD = 12;
    private static final String HEAD =
            "POST /look/large HTTP/1.1\r\nHost: h.example\r\nCitrontide-Deadline-Ms: 20000\r\n"
                    + "Citrontide-Attempt-Id: id-large\r\nAuthorization: Bearer key-1\r\n";
    private static final String BODY = "0123456789abcdef".repeat(BODY_BYTES / 16);
    private static final Pattern MEMORY_BYTES =
            Pattern.compile("citrontide_gateway_memory_bytes\\{holder=\"([a-z-]+)\"} ([0-9.E]+)");

    private FakeHttpUpstream addUpstreamForLargeRequests() throws IOException {
        FakeHttpUpstream upstream = addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "ok"));
        String large = configuration(8)
                .replace("\"max_header_bytes\":2048", "\"max_header_bytes\":16384")
                .replace("\"max_body_bytes\":65536", "\"max_body_bytes\":" + BODY_BYTES)
                .replace("\"header_timeout_ms\":700", "\"header_timeout_ms\":15000")
                .replace("\"timeout_ms\":4000", "\"timeout_ms\":20000");
        store.put("op/config", large);
        await("the limits are in force", () -> metrics().contains("citrontide_gateway_configuration_version 8"));
        return upstream;
    }

    private double memoryBytes() {
        Matcher m = MEMORY_BYTES.matcher(metrics());
        double sum = 0;
        while (m.find()) {
            sum += Double.parseDouble(m.group(2));
        }
        return sum;
    }

    private void awaitNoMemory() {
        await("all memory is freed", () -> metrics().contains("holder=\"caller-heads\"") && memoryBytes() == 0);
    }

    private static void writeInPieces(RawCaller caller, String text, int piece) throws IOException {
        for (int i = 0; i < text.length(); i += piece) {
            caller.write(text.substring(i, Math.min(text.length(), i + piece)));
        }
    }

    private static String chunked(String body, int chunk) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < body.length(); i += chunk) {
            String part = body.substring(i, Math.min(body.length(), i + chunk));
            out.append(Integer.toHexString(part.length()))
                    .append("\r\n")
                    .append(part)
                    .append("\r\n");
        }
        return out.append("0\r\n\r\n").toString();
    }

    // Guards against a bound that refuses a single request within the limits, and against bytes lost between pieces.
    @Test
    void aWholeRequestWithinTheLimitsIsServedInWhateverPiecesItComes() throws IOException {
        FakeHttpUpstream upstream = addUpstreamForLargeRequests();
        String fixed = HEAD + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + BODY;
        String chunkedHead = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        String lines = HEAD + "a:\r\n".repeat(4000) + "\r\n";
        List<Integer> statuses = new ArrayList<>();
        try (RawCaller caller = new RawCaller(callerPort)) {
            for (int piece : new int[] {fixed.length(), 997}) {
                writeInPieces(caller, fixed, piece);
                statuses.add(caller.readResponse().status());
            }
            for (int chunk : new int[] {64 * 1024, 1}) {
                writeInPieces(caller, chunkedHead + chunked(BODY, chunk), 100_000);
                statuses.add(caller.readResponse().status());
            }
            for (int piece : new int[] {lines.length(), 97}) {
                writeInPieces(caller, lines, piece);
                statuses.add(caller.readResponse().status());
            }
        }
        assertEquals(List.of(200, 200, 200, 200, 200, 200), statuses);
        List<String> bodies = upstream.requests().stream().map(r -> r.body()).toList();
        assertTrue(bodies.subList(0, 4).stream().allMatch(BODY::equals));
        awaitNoMemory();
    }

    // Guards against a crowd that holds back the end of its requests and takes all memory, or that of ordinary callers.
    @Test
    void aCrowdOfUnfinishedRequestsIsRefusedAndOrdinaryCallersAreServed() throws IOException {
        addUpstreamForLargeRequests();
        String body = HEAD + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + BODY.substring(1);
        String chunks = HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunked(BODY.substring(1), 65_536);
        String lines = HEAD + "a:\r\n".repeat(4000);
        for (String unfinished : List.of(body, chunks.substring(0, chunks.length() - 5), lines)) {
            List<RawCaller> crowd = new ArrayList<>();
            int refused = 0;
            for (int i = 0; i < CROWD; i++) {
                RawCaller caller = new RawCaller(callerPort);
                crowd.add(caller);
                try {
                    caller.write(unfinished);
                } catch (IOException e) {
                    refused++;
                }
                try (RawCaller ordinary = new RawCaller(callerPort)) {
                    assertEquals(200, requestStatus(ordinary, "/look/small"));
                }
                double bytes = memoryBytes();
                assertTrue(bytes <= 37 * 1024 * 1024, bytes + " bytes");
            }
            String metrics = metrics();
            assertTrue(metrics.contains("citrontide_gateway_callers_refused_total{how=\"answered\",reason=\"memory-"));
            for (RawCaller caller : crowd) {
                caller.close();
            }
            awaitNoMemory();
        }
    }

    // Guards against a refusal that its caller can't tell from a response to a request that has run.
    @Test
    void aRefusedCallerIsToldToReturnOnAnotherConnection() throws IOException {
        addUpstreamForLargeRequests();
        String lines = HEAD + "a:\r\n".repeat(4000);
        List<RawCaller> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(new RawCaller(callerPort));
            crowd.getLast().write(lines);
        }
        RawCaller.Response response = crowd.getFirst().readResponse();
        assertEquals(503, response.status());
        assertEquals("1", response.header("Retry-After"));
        assertEquals("close", response.header("Connection"));
        for (RawCaller caller : crowd) {
            caller.close();
        }
    }

    // Guards against pipelined requests that let one connection take all memory, or wait for each other for ever.
    @Test
    void largePipelinedRequestsOfOneConnectionAreServedOneAfterTheOther() throws Exception {
        addUpstreamForLargeRequests();
        String request = HEAD + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + BODY;
        try (RawCaller caller = new RawCaller(callerPort)) {
            Thread writer = new Thread(() -> {
                try {
                    caller.write(request.repeat(6));
                } catch (IOException e) {
                    // The responses show it.
                }
            });
            writer.start();
            for (int i = 0; i < 6; i++) {
                assertEquals(200, caller.readResponse().status());
            }
            writer.join();
        }
        awaitNoMemory();
    }

    // Guards against a caller that keeps its connection and memory by a byte now and then, or without end.
    @Test
    void aBodyWithoutProgressOrEndIsAnsweredWith408() throws IOException {
        addUpstreamForLargeRequests();
        for (int bytes : new int[] {1, 4096}) {
            try (RawCaller caller = new RawCaller(callerPort)) {
                caller.write(HEAD + "Content-Length: " + BODY_BYTES + "\r\n\r\n");
                String reason = bytes == 1 ? "body-too-slow" : "body-too-long";
                await(reason, () -> {
                    try {
                        caller.write("x".repeat(bytes));
                    } catch (IOException e) {
                        return true;
                    }
                    pause(100);
                    return metrics().contains("how=\"answered\",reason=\"" + reason + "\"");
                });
                assertEquals(408, caller.readResponse().status());
            }
        }
        awaitNoMemory();
    }

    // Guards against a blocked event loop that nobody can see.
    @Test
    void theLagOfTheEventLoopIsExported() throws IOException {
        addUpstreamForLargeRequests();
        await("the lag is measured", () -> metrics().contains("citrontide_gateway_loop_lag_seconds_bucket"));
    }

    // Guards against complete responses that take up direct memory, or are not counted, while their callers don't read.
    @Test
    void largeResponsesToCallersThatDoNotReadAreBoundedAndArriveWhole() throws IOException {
        addUpstream("a", (r, reply) -> reply.writeResponse("200 OK", BODY));
        List<RawCaller> slow = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            slow.add(RawCaller.withSmallReceiveBuffer(callerPort));
            slow.getLast().sendRequest("GET", "/look/large", "id-" + i, "");
            pause(100);
        }
        await("a caller is closed", () -> metrics().contains("how=\"closed\",reason=\"unread-"));
        assertTrue(memoryBytes() <= 37 * 1024 * 1024);
        int whole = 0;
        for (RawCaller caller : slow) {
            try {
                RawCaller.Response response = caller.readResponse();
                whole += response.isComplete() && response.body().equals(BODY) ? 1 : 0;
            } catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException e) {
                // Its connection was closed.
            }
            caller.close();
        }
        assertTrue(whole >= 2 && whole < slow.size(), whole + " whole responses");
        awaitNoMemory();
    }
}
