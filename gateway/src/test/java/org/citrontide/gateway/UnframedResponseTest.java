package org.citrontide.gateway;

import java.io.IOException;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests responses without a length, which end with their connection, to requests that are only partly sent. */
final class UnframedResponseTest extends GatewayHarness {
    private static final int REQUESTS = 5;
    // More than the socket buffers between the gateway and an upstream hold.
    private static final int BODY_BYTES = 7 * 1024 * 1024;
    private static final int BYTES_BEFORE_RESPONSE = 16 * 1024;
    private static final String BODY = "x".repeat(BODY_BYTES);
    private static final String FIRST_EVENT = "id: 1\ndata: first half\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: second half\n\n";

    // Guards against callers that get the first half of a response as a complete one.
    @ParameterizedTest
    @ValueSource(strings = {"/book/", "/look/", "/stream/"})
    void responseResetWhileItsRequestIsSentIsNotDeliveredAsComplete(String target) throws IOException {
        start((r, reply) -> {
            respond(reply, FIRST_EVENT);
            reply.reset();
        });
        for (int i = 0; i < REQUESTS; i++) {
            RawCaller.Response response = post(target, "id-" + i);
            boolean isSuccess = response.status() == 200 && response.isComplete();
            assertFalse(isSuccess, "complete with the body " + response.body());
        }
    }

    // Guards against responses that are lost because the rest of the request is never read.
    @ParameterizedTest
    @ValueSource(strings = {"/book/", "/look/", "/stream/"})
    void responseThatEndsBeforeItsRequestIsSentIsDelivered(String target) throws IOException {
        start((r, reply) -> {
            respond(reply, FIRST_EVENT);
            reply.write(SECOND_EVENT);
            reply.endOutput();
            reply.readBody(BODY_BYTES - BYTES_BEFORE_RESPONSE);
        });
        for (int i = 0; i < REQUESTS; i++) {
            RawCaller.Response response = post(target, "id-" + i);
            assertEquals(200, response.status());
            assertTrue(response.isComplete());
            assertEquals(FIRST_EVENT + SECOND_EVENT, response.body());
        }
    }

    // Guards against a reset that is taken for the end of the response when the request has been sent.
    @Test
    void responseResetAfterItsRequestIsSentIsNotDeliveredAsComplete() throws IOException {
        start((r, reply) -> {
            respond(reply, FIRST_EVENT);
            reply.readBody(BODY_BYTES - BYTES_BEFORE_RESPONSE);
            pause(50);
            reply.reset();
        });
        RawCaller.Response response = post("/book/", "id-1");
        assertEquals(502, response.status());
    }

    // Guards against complete responses that are lost because the rest of their request can't be sent.
    @ParameterizedTest
    @ValueSource(strings = {"/book/", "/look/", "/stream/"})
    void responseWithLengthThatArrivesBeforeAResetIsDelivered(String target) throws IOException {
        start((r, reply) -> {
            reply.readBody(BYTES_BEFORE_RESPONSE);
            reply.writeHead(
                    "200 OK", "Content-Type: text/event-stream\r\nContent-Length: " + FIRST_EVENT.length() + "\r\n");
            reply.write(FIRST_EVENT);
            throw new IOException("the connection is closed with unread bytes");
        });
        for (int i = 0; i < REQUESTS; i++) {
            RawCaller.Response response = post(target, "id-" + i);
            assertEquals(200, response.status(), "request " + i);
            assertTrue(response.isComplete());
            assertEquals(FIRST_EVENT, response.body());
        }
    }

    // Guards against a request that is sent behind the rest of an earlier one, which its upstream may never read.
    @Test
    void connectionWhoseRequestIsPartlyUnsentIsNotReused() throws IOException {
        start((r, reply) -> {
            if (r.header("Content-Length").equals("0")) {
                reply.writeResponse("200 OK", "small");
                return;
            }
            reply.readBody(BYTES_BEFORE_RESPONSE);
            reply.writeResponse("200 OK", "early");
            pause(100);
            throw new IOException("the connection is closed with unread bytes");
        });
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals("early", post("/book/", "large-" + i).body());
            try (RawCaller caller = new RawCaller(callerPort)) {
                caller.sendRequest("POST", "/book/", "small-" + i, "");
                RawCaller.Response response = caller.readResponse();
                assertEquals(200, response.status());
                assertEquals("small", response.body());
            }
        }
    }

    private void start(FakeHttpUpstream.Script script) throws IOException {
        add(FakeHttpUpstream.respondingBeforeBody("a", script));
        add(FakeHttpUpstream.respondingBeforeBody("b", script));
        store.put("op/config", configuration(8).replace("65536", Integer.toString(BODY_BYTES)));
        await("the gateway accepts large bodies", () -> metrics().contains("configuration_version 8.0"));
    }

    private RawCaller.Response post(String target, String id) throws IOException {
        try (RawCaller caller = new RawCaller(callerPort)) {
            caller.sendRequest("POST", target, id, BODY);
            return caller.readResponse();
        }
    }

    private static void respond(Reply reply, String text) throws IOException {
        reply.readBody(BYTES_BEFORE_RESPONSE);
        reply.writeHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n");
        reply.write(text);
        pause(50);
    }
}
