package org.citrontide.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Some answers of a worker are followed by additional bytes, the beginning of a refusal that breaks off in its head.
 * Without the trouble there are none.
 */
final class ExtraBytes {
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 1000;
    private static final int EXTRA_EVERY = 50;
    private static final String DONE = "the turn is booked: north headgate, 05:40 to 06:10. ".repeat(15);
    private static final String EXTRA =
            "HTTP/1.1 503 Service Unavailable\r\nCitrontide-Not-Executed: 1\r\nRetry-After: 0.";

    private final World world;
    private final AtomicReference<String> faulty = new AtomicReference<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final AtomicInteger refusedAfterRun = new AtomicInteger();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> answersByStatus = new ConcurrentHashMap<>();

    private ExtraBytes(World world) {
        this.world = world;
    }

    static int play(World world) throws IOException {
        return new ExtraBytes(world).play();
    }

    private int play() throws IOException {
        for (String id : List.of("w-a", "w-b", "w-c")) {
            AtomicInteger count = new AtomicInteger();
            world.worker(id, "turnbook", 0, call -> answer(id, count, call));
        }
        world.configure(List.of(World.route("book", "unsafe", "turnbook", 2000, "")), List.of("turnbook"));
        Gateway gateway = world.readyGateway("front-1");
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int n = c;
            clients.add(Thread.ofVirtual().start(() -> client(gateway, n)));
        }
        World.join(clients);
        long twice = runs.values().stream().filter(n -> n > 1).count();
        world.recordLogs();
        world.record.result(
                "TWICE: %d of %d bookings ran more than once; REFUSED: %d were answered 429 or 503 and had run;"
                        + " additional bytes %d times; answers by status %s",
                twice, CLIENTS * REQUESTS, refusedAfterRun.get(), extras.get(), answersByStatus);
        return twice > 0 ? World.BROKEN : World.HELD;
    }

    private void client(Gateway gateway, int n) {
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "c" + n + "-" + i;
            try (Caller caller = new Caller(gateway.callerPort, 6000)) {
                caller.send("POST", "/book/turn", id, 4000, new byte[600], "");
                Caller.Answer a = caller.read();
                answersByStatus.merge(a.status(), 1, Integer::sum);
                int ran = runs.getOrDefault(id, 0);
                refusedAfterRun.addAndGet((a.status() == 503 || a.status() == 429) && ran > 0 ? 1 : 0);
                world.record.line("client: %s got %s, ran %d times%s", id, a.text(), ran, ran > 1 ? " TWICE" : "");
            } catch (IOException e) {
                world.record.line("client: %s failed: %s", id, e.getMessage());
            }
        }
    }

    private void answer(String id, AtomicInteger count, Worker.Call call) throws IOException {
        call.readBody(Long.MAX_VALUE);
        runs.merge(call.id(), 1, Integer::sum);
        world.record.line("worker %s: runs %s", id, call.id());
        World.sleep(5);
        call.complete(DONE);
        // The first worker that gets so many requests is the faulty one.
        boolean isFaulty = faulty.get() == null
                ? count.incrementAndGet() == EXTRA_EVERY && faulty.compareAndSet(null, id)
                : id.equals(faulty.get());
        if (isFaulty && answers.incrementAndGet() % EXTRA_EVERY == 0 && world.hasTrouble) {
            extras.incrementAndGet();
            World.sleep(1);
            world.record.line("worker %s: %d additional bytes after the answer to %s", id, EXTRA.length(), call.id());
            call.write(EXTRA);
        }
    }
}
