package org.citrontide.fakes.engine;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.fakes.http.FakeServer;

/**
 * A fake model engine with a prioritized batch, a cache of prompt prefixes, streamed tokens that depend only on the
 * prompt, resumption of streams, a lagging load report, cache events, and orders with fencing numbers.
 *
 * <p>Thread-safe.
 */
public final class FakeEngine implements FakeServer.RequestHandler {
    private static final int DEFAULT_PRIORITY = 3;
    private static final int DEFAULT_TOKENS = 16;
    private static final int VOCABULARY = 1000;
    private static final long LOAD_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long stepMillis;
    private final long prefillMicrosPerChar;
    private final BatchSlots slots;
    private final PrefixCache cache;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger breaksLeft = new AtomicInteger();
    private final AtomicLong highestFencingNumber = new AtomicLong();
    private volatile EngineFaults faults = EngineFaults.NONE;
    private volatile Load load = new Load(0, 0, 0);

    /**
     * Creates an engine.
     *
     * @param batchSize maximum number of requests in the batch
     * @param stepMillis duration of a step, which generates one token, in ms
     * @param prefillMicrosPerChar prefill time for each prompt character that is not cached, in µs
     * @param cacheBlocks maximum number of prompt blocks in the prefix cache
     */
    public FakeEngine(int batchSize, long stepMillis, long prefillMicrosPerChar, int cacheBlocks) {
        this.stepMillis = stepMillis;
        this.prefillMicrosPerChar = prefillMicrosPerChar;
        this.slots = new BatchSlots(batchSize);
        this.cache = new PrefixCache(cacheBlocks);
    }

    @Override
    public FakeServer.Reply serve(FakeServer.Call call) throws IOException, InterruptedException {
        return switch (call.target()) {
            case "POST /v1/chat/completions" -> complete(call);
            case "GET /load" -> FakeServer.Reply.json(JSON.writeValueAsString(load()));
            case "GET /cache-events" ->
                FakeServer.Reply.json(JSON.writeValueAsString(cache.eventsAfter(call.query("after", 0))));
            case "POST /orders" -> order(call);
            case "POST /fake/faults" -> {
                faults = JSON.readValue(call.body(), EngineFaults.class);
                breaksLeft.set(faults.breakCount());
                yield FakeServer.Reply.json("{}");
            }
            default -> FakeServer.Reply.status(NOT_FOUND);
        };
    }

    private FakeServer.Reply complete(FakeServer.Call call) throws IOException, InterruptedException {
        JsonNode json = JSON.readTree(call.body());
        if (json == null || !json.path("messages").isArray()) {
            return FakeServer.Reply.status(BAD_REQUEST);
        }
        String prompt = json.path("messages").toString();
        int tokens = json.path("max_tokens").asInt(DEFAULT_TOKENS);
        slots.acquire(parsePriority(call.header("Priority", "")));
        running.incrementAndGet();
        try {
            double cachedRatio = cache.insert(prompt);
            sleepMicros((long) (prompt.length() * prefillMicrosPerChar * (1 - cachedRatio)));
            return json.path("stream").asBoolean() ? stream(call, prompt, tokens) : completeWhole(prompt, tokens);
        } finally {
            running.decrementAndGet();
            slots.release();
        }
    }

    private FakeServer.Reply stream(FakeServer.Call call, String prompt, int tokens)
            throws IOException, InterruptedException {
        int resumeAfter = Integer.parseInt(call.header("Resume-After-Events", "0"));
        boolean shouldBreak = faults.breakAfterEvents() > 0 && breaksLeft.getAndDecrement() > 0;
        for (int i = resumeAfter; i < tokens; i++) {
            awaitStep();
            if (shouldBreak && i - resumeAfter == faults.breakAfterEvents()) {
                throw new IOException("injected fault: the stream breaks");
            }
            String delta = "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + token(prompt, i) + "\"}}]}";
            call.stream("text/event-stream", "data: " + delta + "\n\n");
        }
        call.stream("text/event-stream", "data: [DONE]\n\n");
        return FakeServer.Reply.status(0);
    }

    private FakeServer.Reply completeWhole(String prompt, int tokens) throws InterruptedException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            awaitStep();
            text.append(token(prompt, i));
        }
        return FakeServer.Reply.json(
                "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + text + "\"}}]}");
    }

    /**
     * Returns a token of the completion of a prompt.
     *
     * @param prompt the messages as JSON text
     * @param index index of the token in the completion
     * @return the token followed by a space
     */
    public static String token(String prompt, int index) {
        return "w" + Math.floorMod(31 * prompt.hashCode() + 17 * index, VOCABULARY) + " ";
    }

    private FakeServer.Reply order(FakeServer.Call call) {
        long number = Long.parseLong(call.header("Fencing-Number", "0"));
        long highest = highestFencingNumber.getAndAccumulate(number, Math::max);
        boolean isStale = number < highest && !faults.ignoreFencing();
        return isStale ? FakeServer.Reply.status(CONFLICT) : FakeServer.Reply.json("{}");
    }

    private Load load() {
        Load last = load;
        long now = System.nanoTime();
        if (now - last.takenNanos() > LOAD_LAG_NANOS) {
            load = new Load(running.get(), slots.waitingCount(), now);
        }
        return last;
    }

    private void awaitStep() throws InterruptedException {
        double factor = faults.slowFactor() <= 0 ? 1 : faults.slowFactor();
        sleepMicros((long) (TimeUnit.MILLISECONDS.toMicros(stepMillis) * factor));
    }

    private static void sleepMicros(long micros) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(micros);
    }

    private static int parsePriority(String header) {
        int start = header.indexOf("u=");
        return start < 0 ? DEFAULT_PRIORITY : header.charAt(start + 2) - '0';
    }

    private record Load(int running, int waiting, long takenNanos) {}
}
