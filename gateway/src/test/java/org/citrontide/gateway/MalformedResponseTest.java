package org.citrontide.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.citrontide.fakes.platform.FakeHttpUpstream.ReceivedRequest;
import org.citrontide.fakes.platform.FakeHttpUpstream.Reply;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a gateway over sockets with upstreams whose first response to each request violates the grammar of HTTP. */
final class MalformedResponseTest extends GatewayHarness {
    private static final String MARK = "malformed";
    // A limit that is believed keeps the next requests from their upstream.
    private static final String FIELDS = "Citrontide-Attempt-Id: %s\r\nCitrontide-Response-Stamp: " + MARK
            + "\r\nKeep-Alive: timeout=5\r\nServer-Limit: 0.1\r\n";
    private static final String NOT_RUN_FIELD = "Citrontide-Not-Executed: 1\r\n";
    private static final String EVENT = "id: 1\ndata: " + MARK + "\n\n";
    private static final String SIZED = "Content-Length: " + EVENT.length() + "\r\n\r\n" + EVENT;
    private static final String CHUNKS =
            "\r\n" + Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n0\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n" + CHUNKS;
    private static final List<String> STATUS_CODES = List.of("000", "001", "020", "099", "600", "799", "999");
    private static final List<String> TRANSFER_CODINGS = List.of(
            "gzip, chunked", "gzip\r\nTransfer-Encoding: chunked", "gzip", "identity", "xchunked", "chunked;q=1", "");
    // One name for each class of byte that is not allowed in one; bytes above 127 are those of a UTF-8 character.
    private static final List<String> FIELD_LINES = List.of(
            "X : a",
            "X\t: a",
            "X Y: a",
            "X\tY: a",
            "X\u0000Y: a",
            "X\u0001Y: a",
            "X\u000bY: a",
            "X\u001fY: a",
            "\u0000: a",
            "X\u007f: a",
            "X(Y): a",
            "X\u00e9: a",
            ": a",
            "X");
    private static final String HEAD = "HTTP/1.1 200 OK\r\n" + FIELDS;
    private static final String GOOD_EVENT = "id: 1\ndata: good\n\n";

    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final AtomicInteger closedConnections = new AtomicInteger();
    private volatile String malformed;

    // RFC 9110, section 15: a status code is a number from 100 to 599.
    @Test
    void responseWithAnInvalidStatusCodeIsBroken() throws IOException {
        checkBroken(
                "status-code",
                responses(
                        STATUS_CODES,
                        code -> "HTTP/1.1 " + code + " Broken\r\n" + FIELDS,
                        SIZED,
                        CHUNKED,
                        NOT_RUN_FIELD + SIZED,
                        NOT_RUN_FIELD + CHUNKED));
    }

    @Test
    void responseWithAMalformedFieldNameIsBroken() throws IOException {
        checkBroken("field-name", responses(FIELD_LINES, line -> HEAD + line + "\r\n", SIZED, NOT_RUN_FIELD + CHUNKED));
    }

    @Test
    void responseWithABlankAtTheBeginningOfALineIsBroken() throws IOException {
        checkBroken(
                "folded-line",
                responses(List.of(" X: a", "\tX: a"), line -> HEAD + line + "\r\n", SIZED, NOT_RUN_FIELD + CHUNKED));
    }

    // The caller would get the coded bytes as the body, or a body that ends with the connection and holds the framing.
    @Test
    void responseWithAnUnknownTransferCodingIsBroken() throws IOException {
        checkBroken(
                "transfer-coding",
                responses(
                        TRANSFER_CODINGS,
                        coding -> HEAD + "Transfer-Encoding: " + coding + "\r\n",
                        CHUNKS,
                        NOT_RUN_FIELD + CHUNKS));
    }

    @Test
    void responseWithAMalformedChunkHeaderIsBroken() throws IOException {
        String size = Integer.toHexString(EVENT.length()) + "\r\n";
        List<String> responses = Stream.of(";", ";=a", ";a ", ";a b")
                .map(extension -> CHUNKED.replace(size, size.strip() + extension + "\r\n"))
                .flatMap(chunked -> Stream.of(HEAD + chunked, HEAD + NOT_RUN_FIELD + chunked))
                .toList();
        checkBroken("chunk-framing", responses);
    }

    // The events of a stream are passed on before its trailers arrive.
    @Test
    void responseWithMalformedTrailersIsBroken() throws IOException {
        addUpstream("a", this::respond);
        addUpstream("b", this::respond);
        for (String trailer : List.of("X : a", "X: a\r\n b")) {
            for (String field : List.of("", NOT_RUN_FIELD)) {
                malformed = HEAD + field + CHUNKED.replace("0\r\n\r\n", "0\r\n" + trailer + "\r\n\r\n");
                checkNotRepeated("/book/" + arrivals.size());
                checkRepeated("/look/" + arrivals.size());
            }
        }
    }

    @Test
    void streamWhoseContinuationIsMalformedIsIncomplete() throws IOException {
        Script script = (r, reply) -> {
            if (r.header("Last-Event-Id").isEmpty()) {
                reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
                reply.writeChunk(GOOD_EVENT);
                pause(30);
                reply.reset();
            }
            String head = "HTTP/1.1 000 Broken\r\n" + FIELDS.formatted(r.header("Citrontide-Attempt-Id"));
            reply.write(head + SIZED);
            reply.awaitClose();
        };
        addUpstream("a", script);
        addUpstream("b", script);
        RawCaller.Response response = request("/stream/");
        assertEquals(GOOD_EVENT, response.body());
        assertFalse(response.isComplete());
    }

    /** Returns a response for each variant and ending; more than 30 would exceed the retry budget of a gateway. */
    private static List<String> responses(List<String> variants, UnaryOperator<String> head, String... endings) {
        return variants.stream()
                .map(head)
                .flatMap(h -> Stream.of(endings).map(h::concat))
                .toList();
    }

    private void checkBroken(String reason, List<String> responses) throws IOException {
        addUpstream("a", this::respond);
        addUpstream("b", this::respond);
        for (int i = 0; i < responses.size(); i++) {
            malformed = responses.get(i);
            checkNotRepeated("/book/" + i);
            checkRepeated("/look/" + i);
            checkRepeated("/stream/" + i);
        }
        int sent = 3 * responses.size();
        await("all connections with malformed responses are closed", () -> closedConnections.get() == sent);
        String counter = "citrontide_gateway_rejected_responses_total{reason=\"" + reason + "\"} " + sent + ".0";
        assertTrue(metrics().contains(counter), metrics());
    }

    private void checkNotRepeated(String target) throws IOException {
        RawCaller.Response response = request(target);
        assertEquals(502, response.status(), target);
        assertNothingPassedOn(response);
        assertEquals(1, arrivals.get(target).get(), target);
    }

    private void checkRepeated(String target) throws IOException {
        RawCaller.Response response = request(target);
        assertEquals(200, response.status(), target);
        assertTrue(response.isComplete(), target);
        assertEquals(GOOD_EVENT, response.body(), target);
        assertNothingPassedOn(response);
        assertEquals(2, arrivals.get(target).get(), target);
    }

    private static void assertNothingPassedOn(RawCaller.Response response) {
        assertFalse((response.head() + response.body()).contains(MARK), response.toString());
    }

    private RawCaller.Response request(String target) throws IOException {
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", target, "id-" + target.replace('/', '-'), "");
            return caller.readResponse();
        }
    }

    private void respond(ReceivedRequest r, Reply reply) throws IOException {
        String target = r.requestLine().split(" ")[1];
        if (arrivals.computeIfAbsent(target, t -> new AtomicInteger()).incrementAndGet() > 1) {
            reply.writeHead(
                    "200 OK", "Content-Type: text/event-stream\r\nContent-Length: " + GOOD_EVENT.length() + "\r\n");
            reply.write(GOOD_EVENT);
            return;
        }
        reply.write(malformed.formatted(r.header("Citrontide-Attempt-Id")));
        try {
            reply.awaitClose();
        } finally {
            closedConnections.incrementAndGet();
        }
    }
}
