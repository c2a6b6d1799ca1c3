package org.citrontide.gateway;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests a gateway over sockets with upstreams that send, after a response, the beginning of a second one. Several lanes
 * play at once; each has a caller, a service and upstreams of its own, so that no piece meets a request of another
 * lane.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class SecondResponseTest extends GatewayHarness {
    private static final long SEED = 40;
    private static final int SAMPLES = 300;
    private static final int REFUSING_SAMPLES = 100;
    private static final int LANES = 8;
    // Otherwise a gateway that answers 502 to everything would pass.
    private static final double MIN_OWN_SHARE_OF_FIRST = 0.9;
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

    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final List<Lane> lanes = new ArrayList<>();
    private final AtomicInteger ownFirst = new AtomicInteger();
    private final AtomicInteger ownNext = new AtomicInteger();
    private final AtomicInteger count = new AtomicInteger();

    /** When the second response arrives. */
    private enum Moment {
        WITH_THE_FIRST(0.9),
        // The piece and the next request are sent at the same time.
        AFTER_1_MS(0.5),
        AFTER_6_MS(0.5),
        WHEN_THE_NEXT_REQUEST_IS_READ(0),
        WITH_THE_NEXT(0);

        private final double minOwnShare;

        Moment(double minOwnShare) {
            this.minOwnShare = minOwnShare;
        }
    }

    /** What the second response is, and the status of the real response that follows. */
    private enum Form {
        SUCCESS_BEFORE_FAILURE("200 OK", STAMP, 500),
        FAILURE_BEFORE_SUCCESS("500 Internal Server Error", STAMP, 200),
        FULL_BEFORE_SUCCESS("429 Too Many Requests", NOT_RUN, 200),
        REFUSAL_BEFORE_SUCCESS("503 Service Unavailable", NOT_RUN, 200),
        SUCCESS_BEFORE_REFUSAL("200 OK", STAMP, 200);

        private static final List<Form> RUNNING =
                List.of(SUCCESS_BEFORE_FAILURE, FAILURE_BEFORE_SUCCESS, FULL_BEFORE_SUCCESS, REFUSAL_BEFORE_SUCCESS);

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

    // One gateway serves all tests, because its start takes seconds.
    @Override
    @BeforeAll
    void start() throws IOException {
        super.start();
        addUpstreams();
    }

    @Override
    @AfterAll
    void stop() throws IOException {
        super.stop();
    }

    @BeforeEach
    void reset() {
        faults.clear();
        ownFirst.set(0);
        ownNext.set(0);
    }

    private void addUpstreams() throws IOException {
        List<String> suffixes = IntStream.range(0, LANES).mapToObj(i -> "-" + i).toList();
        for (String suffix : suffixes) {
            Lane lane = new Lane(suffix);
            lanes.add(lane);
            for (String id : List.of("a", "b")) {
                FakeHttpUpstream u = new FakeHttpUpstream(id + suffix, (r, reply) -> lane.answer(id, r, reply));
                upstreams.add(u);
                store.put("servers/" + u.id(), u.entry("svc" + suffix, "ready"));
            }
        }
        store.put("op/config", configuration(8, suffixes));
        await("the gateway is ready", () -> readinessStatus() == 200);
        lanes.forEach(lane -> await("the gateway knows " + lane.suffix, () -> isServed(lane)));
    }

    private boolean isServed(Lane lane) {
        try (RawCaller caller = new RawCaller(callerPort)) {
            return requestStatus(caller, "/look" + lane.suffix + "/first") == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // Guards against a status of one response with the id, stamp and body of another.
    @ParameterizedTest
    @EnumSource
    void responseCutAtAnyByteNeverBecomesPartOfTheNext(Moment moment) throws Exception {
        checkAllCuts(Form.SUCCESS_BEFORE_FAILURE, moment, "look");
    }

    // Guards against a booking that runs twice, or that ran and is answered as not run.
    @ParameterizedTest
    @EnumSource
    void refusalCutAtAnyByteNeverRefusesTheNextRequest(Moment moment) throws Exception {
        checkAllCuts(Form.REFUSAL_BEFORE_SUCCESS, moment, "book");
    }

    @Test
    void noCombinationOfFormCutAndMomentMixesResponses() throws Exception {
        Random random = new Random(SEED);
        List<Play> plays = new ArrayList<>();
        for (int i = 0; i < SAMPLES; i++) {
            plays.add(sample(Form.RUNNING.get(random.nextInt(Form.RUNNING.size())), random));
        }
        for (int i = 0; i < REFUSING_SAMPLES; i++) {
            plays.add(sample(Form.SUCCESS_BEFORE_REFUSAL, random));
        }
        checkAll(plays);
    }

    private static Play sample(Form form, Random random) {
        List<String> routes = List.of("book", "look", "stream");
        Moment moment = Moment.values()[random.nextInt(Moment.values().length)];
        boolean hasId = random.nextBoolean();
        boolean isChunked = random.nextBoolean();
        int length = form.response(hasId, isChunked).formatted("id-00000").length();
        String route = routes.get(random.nextInt(routes.size()));
        return new Play(form, moment, hasId, isChunked, route, 1 + random.nextInt(length));
    }

    private void checkAllCuts(Form form, Moment moment, String route) throws Exception {
        boolean isChunked = moment.ordinal() % 2 == 0;
        int length = form.response(true, isChunked).formatted("id-00000").length();
        checkAll(IntStream.rangeClosed(1, length)
                .mapToObj(cut -> new Play(form, moment, true, isChunked, route, cut))
                .toList());
        assertShare(moment.minOwnShare, ownNext.get(), length);
    }

    private void checkAll(List<Play> plays) throws Exception {
        Queue<Play> queue = new ConcurrentLinkedQueue<>(plays);
        try (ExecutorService executor = Executors.newFixedThreadPool(LANES)) {
            List<Callable<Void>> tasks = new ArrayList<>();
            lanes.forEach(lane -> tasks.add(() -> lane.playAll(queue)));
            List<Future<Void>> ended = executor.invokeAll(tasks);
            assertEquals(List.of(), faults);
            for (Future<Void> f : ended) {
                f.get();
            }
        }
        assertShare(MIN_OWN_SHARE_OF_FIRST, ownFirst.get(), plays.size());
    }

    private static void assertShare(double min, int own, int all) {
        assertTrue(own >= min * all, own + " of " + all + " requests got their own response");
    }

    private static String body(String id) {
        return "id: 1\ndata: " + id + "\n\n";
    }

    /** A caller with a service of its own. Played by one thread; its upstreams answer on theirs. */
    private final class Lane {
        private final String suffix;
        private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        private final Map<String, Integer> ownStatuses = new ConcurrentHashMap<>();
        private final Map<Thread, String> pieces = new ConcurrentHashMap<>();
        private volatile Play play = new Play(Form.FULL_BEFORE_SUCCESS, Moment.WITH_THE_FIRST, true, false, "look", 0);

        private Lane(String suffix) {
            this.suffix = suffix;
        }

        private Void playAll(Queue<Play> queue) throws IOException {
            try (RawCaller caller = new RawCaller(callerPort)) {
                for (Play p = queue.poll(); p != null && faults.size() < MAX_FAULTS; p = queue.poll()) {
                    check(caller, p);
                }
            }
            return null;
        }

        private void check(RawCaller caller, Play newPlay) throws IOException {
            play = newPlay;
            request(caller, "first", ownFirst);
            int delay = newPlay.moment() == Moment.AFTER_1_MS ? DELAYS_MS[0] : DELAYS_MS[1];
            if (newPlay.moment() == Moment.AFTER_1_MS || newPlay.moment() == Moment.AFTER_6_MS) {
                pause(delay);
            }
            request(caller, "next", ownNext);
        }

        private void request(RawCaller caller, String step, AtomicInteger own) throws IOException {
            String id = "id-%05d".formatted(count.getAndIncrement());
            long start = System.nanoTime();
            caller.sendRequest("POST", "/" + play.route() + suffix + "/" + step, id, "turn");
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
            } else if (response.isComplete() && isOwn(id, response)) {
                own.incrementAndGet();
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
            return isOwn(id, response)
                    ? ""
                    : status + " instead of " + ownStatuses.get(id) + " with " + response.body();
        }

        private boolean isOwn(String id, RawCaller.Response response) {
            return response.status() == ownStatuses.getOrDefault(id, 0)
                    && response.body().equals(body(id))
                    && response.header("Citrontide-Response-Stamp").equals("stamp-of-" + id)
                    && response.header("Citrontide-Attempt-Id").equals(id);
        }

        private void answer(String upstream, FakeHttpUpstream.ReceivedRequest r, FakeHttpUpstream.Reply reply)
                throws IOException {
            Play now = play;
            String id = r.header("Citrontide-Attempt-Id");
            boolean isFirst = r.requestLine().contains("/first");
            boolean isRefused = !isFirst && now.form() == Form.SUCCESS_BEFORE_REFUSAL && upstream.equals("a");
            String own = isRefused
                    ? "HTTP/1.1 503 Own\r\n" + ID.formatted(id) + NOT_RUN + KEEP + "Content-Length: 0\r\n\r\n"
                    : run(now, id, isFirst);
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

        private String run(Play now, String id, boolean isFirst) {
            runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            int status = isFirst ? 200 : now.form().ownStatus;
            ownStatuses.put(id, status);
            String body = body(id);
            return "HTTP/1.1 " + status + " Own\r\n" + ID.formatted(id) + "Citrontide-Response-Stamp: stamp-of-" + id
                    + "\r\n" + KEEP + "Content-Type: text/event-stream\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
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
                default -> throw new IllegalStateException();
            }
        }
    }
}
