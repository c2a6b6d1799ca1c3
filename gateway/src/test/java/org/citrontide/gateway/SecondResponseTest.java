package org.citrontide.gateway;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakeHttpUpstream.Script;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests a gateway over sockets with an upstream that sends, after its response, the beginning of a second one. */
final class SecondResponseTest extends GatewayHarness {
    private static final long SEED = 40;
    private static final int SAMPLES = 300;
    // A request without a prompt answer takes seconds, so the test stops early.
    private static final int MAX_FAULTS = 3;
    private static final long PROMPT_MS = 1000;
    private static final int[] DELAYS_MS = {1, 6};
    private static final String ID = "Citrontide-Attempt-Id: %s\r\n";
    private static final String STAMP = "Citrontide-Response-Stamp: stamp-of-second\r\n";
    private static final String NOT_RUN = "Citrontide-Not-Executed: 1\r\nRetry-After: 0.1\r\n";
    private static final String KEEP = "Keep-Alive: timeout=5\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n10\r\nsecond response.\r\n"
            + "A\r\n0123456789\r\n0\r\nX-Trailer: second\r\nX-Other: trailer\r\n\r\n";
    private static final String SIZED = "Content-Length: 26\r\n\r\nsecond response.0123456789";

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> ownStatuses = new ConcurrentHashMap<>();
    private final Map<Thread, String> pieces = new ConcurrentHashMap<>();
    private final List<String> faults = new ArrayList<>();
    private volatile Play play;
    private int count;

    /** When the second response arrives. */
    private enum Moment {
        WITH_THE_FIRST,
        AFTER_1_MS,
        AFTER_6_MS,
        WHEN_THE_NEXT_REQUEST_IS_READ,
        WITH_THE_NEXT
    }

    /** What the second response is, and the status of the real response that follows. */
    private enum Form {
        SUCCESS_BEFORE_FAILURE("200 OK", STAMP, 500),
        FAILURE_BEFORE_SUCCESS("500 Internal Server Error", STAMP, 200),
        FULL_BEFORE_SUCCESS("429 Too Many Requests", NOT_RUN, 200),
        REFUSAL_BEFORE_SUCCESS("503 Service Unavailable", NOT_RUN, 200);

        private final String status;
        private final String fields;
        private final int ownStatus;

        Form(String status, String fields, int ownStatus) {
            this.status = status;
            this.fields = fields;
            this.ownStatus = ownStatus;
        }

        String response(boolean hasId, boolean isChunked) {
            return "HTTP/1.1 " + status + "\r\n" + (hasId ? ID : "") + fields + KEEP + (isChunked ? CHUNKED : SIZED);
        }
    }

    /** One combination: the first request is answered properly and followed by a piece, the second one is checked. */
    private record Play(Form form, Moment moment, boolean hasId, boolean isChunked, String route, int cut) {
        String piece(String earlierId) {
            String whole = form.response(hasId, isChunked).formatted(earlierId);
            return whole.substring(0, Math.min(cut, whole.length()));
        }
    }

    @BeforeEach
    void addUpstreams() throws IOException {
        Script script = this::answer;
        addUpstream("a", script);
        addUpstream("b", script);
    }

    // Guards against a status of one response with the id, stamp and body of another.
    @ParameterizedTest
    @EnumSource
    void responseCutAtAnyByteNeverBecomesPartOfTheNext(Moment moment) throws IOException {
        checkAllCuts(Form.SUCCESS_BEFORE_FAILURE, moment, "look");
    }

    // Guards against a booking that runs twice, or that ran and is answered as not run.
    @ParameterizedTest
    @EnumSource
    void refusalCutAtAnyByteNeverRefusesTheNextRequest(Moment moment) throws IOException {
        checkAllCuts(Form.REFUSAL_BEFORE_SUCCESS, moment, "book");
    }

    @Test
    void noCombinationOfFormCutAndMomentMixesResponses() throws IOException {
        Random random = new Random(SEED);
        List<String> routes = List.of("book", "look", "stream");
        try (RawCaller caller = new RawCaller(callerPort)) {
            for (int i = 0; i < SAMPLES && faults.size() < MAX_FAULTS; i++) {
                Form form = Form.values()[random.nextInt(Form.values().length)];
                Moment moment = Moment.values()[random.nextInt(Moment.values().length)];
                boolean hasId = random.nextBoolean();
                boolean isChunked = random.nextBoolean();
                int length =
                        form.response(hasId, isChunked).formatted("id-00000").length();
                String route = routes.get(random.nextInt(routes.size()));
                check(caller, new Play(form, moment, hasId, isChunked, route, 1 + random.nextInt(length)));
            }
        }
        assertEquals(List.of(), faults);
    }

    private void checkAllCuts(Form form, Moment moment, String route) throws IOException {
        try (RawCaller caller = new RawCaller(callerPort)) {
            boolean isChunked = moment.ordinal() % 2 == 0;
            int length = form.response(true, isChunked).formatted("id-00000").length();
            for (int cut = 1; cut <= length && faults.size() < MAX_FAULTS; cut++) {
                check(caller, new Play(form, moment, true, isChunked, route, cut));
            }
        }
        assertEquals(List.of(), faults);
    }

    private void check(RawCaller caller, Play newPlay) throws IOException {
        play = newPlay;
        request(caller, "first");
        int delay = newPlay.moment() == Moment.AFTER_1_MS ? DELAYS_MS[0] : DELAYS_MS[1];
        if (newPlay.moment() == Moment.AFTER_1_MS || newPlay.moment() == Moment.AFTER_6_MS) {
            pause(delay);
        }
        request(caller, "next");
    }

    private void request(RawCaller caller, String step) throws IOException {
        String id = "id-%05d".formatted(count++);
        long start = System.nanoTime();
        caller.sendRequest("POST", "/" + play.route() + "/" + step, id, "turn");
        RawCaller.Response response;
        try {
            response = caller.readResponse();
        } catch (SocketTimeoutException e) {
            faults.add(play + " " + id + " has no response");
            throw e;
        }
        long millis = (System.nanoTime() - start) / 1_000_000;
        String fault = faultOf(id, response);
        if (!fault.isEmpty()) {
            faults.add(play + " " + step + ": " + fault);
        }
        if (millis >= PROMPT_MS) {
            faults.add(play + " " + step + ": " + response.status() + " after " + millis + " ms");
        }
    }

    private String faultOf(String id, RawCaller.Response response) {
        int ran = runs.getOrDefault(id, new AtomicInteger()).get();
        int status = response.status();
        if (ran > 1 && play.route().equals("book")) {
            return "ran " + ran + " times";
        }
        if (!response.isComplete()) {
            return play.route().equals("stream") && body(id).startsWith(response.body()) ? "" : "cut";
        }
        if (response.header("Citrontide-Response-Stamp").isEmpty()) {
            boolean isPromise = status == 503 || status == 429;
            boolean isFailure = status == 502 || status == 504;
            return isFailure || isPromise && ran == 0 ? "" : status + " without stamp, ran " + ran + " times";
        }
        boolean isOwn = status == ownStatuses.getOrDefault(id, 0)
                && response.body().equals(body(id))
                && response.header("Citrontide-Response-Stamp").equals("stamp-of-" + id)
                && response.header("Citrontide-Attempt-Id").equals(id);
        return isOwn ? "" : status + " instead of " + ownStatuses.get(id) + " with " + response.body();
    }

    private static String body(String id) {
        return "id: 1\ndata: " + id + "\n\n";
    }

    private void answer(FakeHttpUpstream.ReceivedRequest r, FakeHttpUpstream.Reply reply) throws IOException {
        Play now = play;
        String id = r.header("Citrontide-Attempt-Id");
        boolean isFirst = r.requestLine().contains("/first");
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        int status = isFirst ? 200 : now.form().ownStatus;
        ownStatuses.put(id, status);
        String body = body(id);
        String own = "HTTP/1.1 " + status + " Own\r\n" + ID.formatted(id) + "Citrontide-Response-Stamp: stamp-of-" + id
                + "\r\n" + KEEP + "Content-Type: text/event-stream\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
        if (isFirst) {
            answerFirst(now, id, own, reply);
            return;
        }
        // Only the connection that carried the first response has a second one.
        String piece = pieces.getOrDefault(Thread.currentThread(), "");
        pieces.remove(Thread.currentThread());
        if (now.moment() == Moment.WHEN_THE_NEXT_REQUEST_IS_READ) {
            reply.write(piece);
            pause(2);
            piece = "";
        }
        reply.write(piece + own);
    }

    private void answerFirst(Play now, String id, String own, FakeHttpUpstream.Reply reply) throws IOException {
        String piece = now.piece(id);
        switch (now.moment()) {
            case WITH_THE_FIRST -> reply.write(own + piece);
            case AFTER_1_MS, AFTER_6_MS -> {
                reply.write(own);
                pause(now.moment() == Moment.AFTER_1_MS ? DELAYS_MS[0] : DELAYS_MS[1]);
                reply.write(piece);
            }
            case WHEN_THE_NEXT_REQUEST_IS_READ, WITH_THE_NEXT -> {
                reply.write(own);
                pieces.put(Thread.currentThread(), piece);
            }
        }
    }
}
