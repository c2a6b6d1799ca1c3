package org.citrontide.fakes.engine;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.fakes.http.FakeServer;

/**
 * A stand-in for a model engine: a batch with priorities, a cache of prompt prefixes, streamed tokens that depend only
 * on the prompt, resumption, a lagging load report, cache events, and orders with fencing numbers.
 *
 * <p>Safe for use by many threads.
 */
public final class FakeEngine implements FakeServer.Pages {
    private static final int DEFAULT_PRIORITY = 3;
    private static final int DEFAULT_TOKENS = 16;
    private static final int VOCABULARY = 1000;
    private static final long LOAD_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long tokenMillis;
    private final long prefillMicrosPerChar;
    private final BatchSlots slots;
    private final PrefixCache cache;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger breaksLeft = new AtomicInteger();
    private final AtomicLong highestFencing = new AtomicLong();
    private volatile EngineFaults faults = EngineFaults.NONE;
    private volatile Load load = new Load(0, 0, 0);

    /**
     * Makes an engine.
     *
     * @param batch requests in the batch at most
     * @param tokenMillis time of one step in ms
     * @param prefillMicrosPerChar time to read a character of a prompt that is not cached, in µs
     * @param cacheBlocks blocks of prompts that are remembered
     */
    public FakeEngine(int batch, long tokenMillis, long prefillMicrosPerChar, int cacheBlocks) {
        this.tokenMillis = tokenMillis;
        this.prefillMicrosPerChar = prefillMicrosPerChar;
        this.slots = new BatchSlots(batch);
        this.cache = new PrefixCache(cacheBlocks);
    }

    @Override
    public FakeServer.Reply serve(FakeServer.Call call) throws IOException, InterruptedException {
        return switch (call.target()) {
            case "POST /v1/chat/completions" -> complete(call);
            case "GET /load" -> FakeServer.Reply.json(JSON.writeValueAsString(load()));
            case "GET /cache-events" ->
                FakeServer.Reply.json(JSON.writeValueAsString(cache.after(call.query("after", 0))));
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
        slots.acquire(priority(call.header("Priority", "")));
        running.incrementAndGet();
        try {
            double hit = cache.admit(prompt);
            pauseMicros((long) (prompt.length() * prefillMicrosPerChar * (1 - hit)));
            return json.path("stream").asBoolean() ? stream(call, prompt, tokens) : whole(prompt, tokens);
        } finally {
            running.decrementAndGet();
            slots.release();
        }
    }

    private FakeServer.Reply stream(FakeServer.Call call, String prompt, int tokens)
            throws IOException, InterruptedException {
        int skip = Integer.parseInt(call.header("Resume-After-Events", "0"));
        boolean breaks = faults.breakAfterEvents() > 0 && breaksLeft.getAndDecrement() > 0;
        for (int i = skip; i < tokens; i++) {
            step();
            if (breaks && i - skip == faults.breakAfterEvents()) {
                throw new IOException("the stream breaks");
            }
            String delta = "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + token(prompt, i) + "\"}}]}";
            call.stream("text/event-stream", "data: " + delta + "\n\n");
        }
        call.stream("text/event-stream", "data: [DONE]\n\n");
        return FakeServer.Reply.status(0);
    }

    private FakeServer.Reply whole(String prompt, int tokens) throws InterruptedException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            step();
            text.append(token(prompt, i));
        }
        return FakeServer.Reply.json(
                "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + text + "\"}}]}");
    }

    /**
     * Returns a token of the answer to a prompt.
     *
     * @param prompt the messages as JSON text
     * @param index number of the token
     * @return the token with a blank behind it
     */
    public static String token(String prompt, int index) {
        return "w" + Math.floorMod(31 * prompt.hashCode() + 17 * index, VOCABULARY) + " ";
    }

    private FakeServer.Reply order(FakeServer.Call call) {
        long number = Long.parseLong(call.header("Fencing-Number", "0"));
        long highest = highestFencing.getAndAccumulate(number, Math::max);
        boolean old = number < highest && !faults.ignoreFencing();
        return old ? FakeServer.Reply.status(CONFLICT) : FakeServer.Reply.json("{}");
    }

    private Load load() {
        Load last = load;
        long now = System.nanoTime();
        if (now - last.takenNanos() > LOAD_LAG_NANOS) {
            load = new Load(running.get(), slots.waiting(), now);
        }
        return last;
    }

    private void step() throws InterruptedException {
        double factor = faults.slowFactor() <= 0 ? 1 : faults.slowFactor();
        pauseMicros((long) (TimeUnit.MILLISECONDS.toMicros(tokenMillis) * factor));
    }

    private static void pauseMicros(long micros) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(micros);
    }

    private static int priority(String header) {
        int at = header.indexOf("u=");
        return at < 0 ? DEFAULT_PRIORITY : header.charAt(at + 2) - '0';
    }

    private record Load(int running, int waiting, long takenNanos) {}
}
