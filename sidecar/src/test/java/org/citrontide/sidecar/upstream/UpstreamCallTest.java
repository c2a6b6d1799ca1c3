package org.citrontide.sidecar.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.citrontide.core.gate.CallOutcome;
import org.citrontide.core.verdict.Reason;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.store.client.HttpClients;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls an upstream whose responses violate the grammar of HTTP. */
final class UpstreamCallTest {
    private static final int MAX_THREADS = 4;
    private static final int MAX_CONNECTIONS = 4;
    private static final int CREDIT_BYTES = 100_000;
    private static final long TIMEOUT_SECONDS = 10;
    private static final String SIZED = "Content-Length: 3\r\n\r\nown";
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNKS = "\r\n3\r\nown\r\n0\r\n\r\n";

    private final AtomicInteger closedConnections = new AtomicInteger();
    private HttpClient client;

    @BeforeEach
    void start() throws IOException {
        client = HttpClients.start("upstream-client", MAX_THREADS, MAX_CONNECTIONS);
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
    }

    @ParameterizedTest
    @ValueSource(strings = {"200", "299", "404", "500", "599"})
    void responseWithAValidStatusCodeIsPassedOn(String code) throws Exception {
        String response = "HTTP/1.1 " + code + " Reason\r\n" + SIZED;
        try (FakeHttpUpstream upstream = new FakeHttpUpstream("a", (r, reply) -> respond(reply, response))) {
            Received received = call(upstream);
            assertEquals(code + " own", received.text.toString());
            assertInstanceOf(CallOutcome.Answered.class, received.outcome.join());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "100 Continue",
                "102 Processing",
                "103 Early Hints",
                "100 Continue\r\n\r\nHTTP/1.1 103 Early Hints",
                "103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints"
            })
    void interimResponseIsSkipped(String status) throws Exception {
        String response = "HTTP/1.1 " + status + "\r\nX: a\r\n\r\nHTTP/1.1 200 OK\r\n" + SIZED;
        try (FakeHttpUpstream upstream = new FakeHttpUpstream("a", (r, reply) -> respond(reply, response))) {
            Received received = call(upstream);
            assertEquals("200 own", received.text.toString());
            assertInstanceOf(CallOutcome.Answered.class, received.outcome.join());
        }
    }

    // Jetty's client doesn't skip these, and would wait for the end of their content.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "101 Switching Protocols",
                "104 Interim",
                "199 Interim",
                "100 Continue\r\n\r\nHTTP/1.1 100 Continue"
            })
    void unknownInterimResponseIsLost(String status) throws Exception {
        checkNothingPassedOn("HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 200 OK\r\n" + SIZED);
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "799", "999", "20", "2000", "2x0"})
    void responseWithAnInvalidStatusCodeIsLost(String code) throws Exception {
        checkNothingPassedOn("HTTP/1.1 " + code + " Broken\r\n" + SIZED);
        checkNothingPassedOn("HTTP/1.1 " + code + " Broken\r\nTransfer-Encoding: chunked\r\n" + CHUNKS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/1 200 OK",
                "ICY 200 OK",
                "200 OK",
                " HTTP/1.1 200 OK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\u007fK",
                "HTTP/1.1 200 O\nK"
            })
    void responseWithAMalformedStatusLineIsLost(String line) throws Exception {
        checkNothingPassedOn(line + "\r\n" + SIZED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X : a",
                "X\t: a",
                "X Y: a",
                "X\tY: a",
                " X: a",
                "X\u0000Y: a",
                "X\u0001Y: a",
                "X\u000bY: a",
                "X\u001fY: a",
                "X\u007f: a",
                "X(Y): a",
                "X\u00e9: a",
                ": a",
                "X",
                "X: a\u0000b",
                "X: a\r\n b"
            })
    void responseWithAMalformedFieldIsLost(String line) throws Exception {
        checkNothingPassedOn("HTTP/1.1 200 OK\r\n" + line + "\r\n" + SIZED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "gzip, chunked",
                "gzip\r\nTransfer-Encoding: chunked",
                "chunked, gzip",
                "chunked, chunked",
                "gzip",
                "identity",
                "xchunked",
                "chunked;q=1",
                "",
                "chunked\r\nContent-Length: 3",
                "gzip\r\nContent-Length: 3",
                "identity\r\nContent-Length: 3"
            })
    void responseWithAnUnknownTransferCodingIsLost(String coding) throws Exception {
        checkNothingPassedOn("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n" + CHUNKS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"+3", "-3", "3a", "3, 4", "3\r\nContent-Length: 4", "99999999999999999999"})
    void responseWithAMalformedLengthIsLost(String length) throws Exception {
        checkNothingPassedOn("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nown");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x\r\nown\r\n0\r\n\r\n",
                "3 x\r\nown\r\n0\r\n\r\n",
                "100000003\r\nown\r\n0\r\n\r\n",
                "10000000000000003\r\nown\r\n0\r\n\r\n",
                "3\r\nowner\r\n0\r\n\r\n",
                "3\r\nown\r\n0\r\nX : a\r\n\r\n",
                "3\r\nown\r\n0\r\nX: a\r\n b\r\n\r\n"
            })
    void responseWithMalformedChunksIsLost(String body) throws Exception {
        checkLost(CHUNKED_HEAD + body);
    }

    // Jetty's client accepts these, and shows nothing of them.
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(
            strings = {
                "http/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown",
                CHUNKED_HEAD + "3;\r\nown\r\n0\r\n\r\n",
                CHUNKED_HEAD + "3;=b\r\nown\r\n0\r\n\r\n",
                CHUNKED_HEAD + "3;a b\r\nown\r\n0\r\n\r\n",
                CHUNKED_HEAD + "3\nown\r\n0\r\n\r\n",
                CHUNKED_HEAD + "3\r\nown0\r\n\r\n",
                CHUNKED_HEAD + "3\r\nown\n0\r\n\r\n"
            })
    void responseWhoseMalformationTheClientHidesIsLost(String response) throws Exception {
        checkLost(response);
    }

    private void checkNothingPassedOn(String response) throws Exception {
        assertEquals("", checkLost(response));
    }

    /** Checks that a response answers no call and its connection is closed; returns what was passed on before. */
    private String checkLost(String response) throws Exception {
        closedConnections.set(0);
        try (FakeHttpUpstream upstream = new FakeHttpUpstream("a", (r, reply) -> respond(reply, response))) {
            Received received = call(upstream);
            CallOutcome lost = new CallOutcome.AnswerLost(Reason.ANSWER_BROKEN);
            assertEquals(lost, received.outcome.join(), received.text.toString());
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (closedConnections.get() == 0) {
                assertTrue(System.nanoTime() < deadline, "the connection is still open");
                TimeUnit.MILLISECONDS.sleep(1);
            }
            return received.text.toString();
        }
    }

    private void respond(FakeHttpUpstream.Reply reply, String response) throws IOException {
        reply.write(response);
        try {
            reply.awaitClose();
        } finally {
            closedConnections.incrementAndGet();
        }
    }

    private Received call(FakeHttpUpstream upstream) throws Exception {
        Received received = new Received();
        String address = upstream.entry("svc", "ready").replaceAll(".*(127.0.0.1:[0-9]+).*", "$1");
        new UpstreamCall(CREDIT_BYTES, true, received).send(client.newRequest("http://" + address), () -> true);
        received.outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return received;
    }

    /** Records what a call passes on. */
    private static final class Received implements UpstreamCall.AnswerListener {
        private final StringBuffer text = new StringBuffer();
        private final CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();

        @Override
        public void headReceived(int status, String contentType) {
            text.append(status).append(' ');
        }

        @Override
        public void chunkReceived(long offset, byte[] data) {
            text.append(new String(data, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void callEnded(CallOutcome ended) {
            outcome.complete(ended);
        }
    }
}
