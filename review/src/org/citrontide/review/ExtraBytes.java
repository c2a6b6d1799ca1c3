package org.citrontide.review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Some answers of a worker are followed by additional bytes, the beginning of a second answer that breaks off in its
 * head. The worker fails one request in 250, each the next on a connection with such bytes. Without the trouble there
 * are no additional bytes, and the same share of requests fails.
 */
final class ExtraBytes {
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 1000;
    private static final int EXTRA_EVERY = 50;
    private static final int FAILURE_EVERY = 250;
    private static final String DONE = "the turn is booked: north headgate, 05:40 to 06:10. ".repeat(15);
    private static final String FAILED = "the turn is not booked: the ledger is locked";
    private static final String EXTRA = "HTTP/1.1 200 OK\r\nContent-Type: text/pl";

    private final World world;
    private final AtomicReference<String> faulty = new AtomicReference<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final Set<Socket> failing = ConcurrentHashMap.newKeySet();
    private final Set<String> failed = ConcurrentHashMap.newKeySet();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();

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
        world.recordLogs();
        world.record.result(
                "MIXED: %d of %d requests got a success where the worker had answered with a failure; %d failed",
                wrong.get(), CLIENTS * REQUESTS, failures.get());
        return wrong.get() > 0 ? World.BROKEN : World.HELD;
    }

    private void client(Gateway gateway, int n) {
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "c" + n + "-" + i;
            try (Caller caller = new Caller(gateway.callerPort, 6000)) {
                caller.send("POST", "/book/turn", id, 4000, new byte[600], "");
                Caller.Answer a = caller.read();
                boolean isSuccess = a.status() / 100 == 2 && a.end() == Caller.End.COMPLETE;
                boolean isWrong = isSuccess && failed.contains(id);
                wrong.addAndGet(isWrong ? 1 : 0);
                failures.addAndGet(isSuccess ? 0 : 1);
                world.record.line(
                        "client: %s got %s stamp %s%s",
                        id, a.text(), a.headers().get("citrontide-response-stamp"),
                        isWrong ? " WRONG, body '" + new String(a.body()) + "'" : "");
            } catch (IOException e) {
                world.record.line("client: %s failed: %s", id, e.getMessage());
            }
        }
    }

    private void answer(String id, AtomicInteger count, Worker.Call call) throws IOException {
        call.readBody(Long.MAX_VALUE);
        World.sleep(5);
        if (failing.remove(call.socket)) {
            failed.add(call.id());
            world.record.line("worker %s: runs %s and fails with 500", id, call.id());
            call.head("500 Internal Server Error", "Keep-Alive: timeout=30\r\nContent-Length: " + FAILED.length() + "\r\n");
            call.write(FAILED);
            return;
        }
        call.complete(DONE);
        // The first worker that gets so many requests is the faulty one.
        boolean isFaulty = faulty.get() == null
                ? count.incrementAndGet() == EXTRA_EVERY && faulty.compareAndSet(null, id)
                : id.equals(faulty.get());
        int number = isFaulty ? answers.incrementAndGet() : 1;
        if (number % FAILURE_EVERY == 0) {
            failing.add(call.socket);
        }
        if (number % EXTRA_EVERY == 0 && world.hasTrouble) {
            World.sleep(1);
            world.record.line("worker %s: %d additional bytes after the answer to %s", id, EXTRA.length(), call.id());
            call.write(EXTRA);
        }
    }
}
