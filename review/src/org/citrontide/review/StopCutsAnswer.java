package org.citrontide.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read answers of some megabytes over slow links while their gateway gets SIGTERM. Without the trouble no
 * SIGTERM is sent.
 */
final class StopCutsAnswer {
    private static final int CLIENTS = 4;
    private static final long GRACE_MS = 8000;
    private static final long SEND_MS = 2500;
    private static final int ANSWER_BYTES = 5_000_000;
    private static final int READ_BYTES = 100_000;
    private static final int READ_PAUSE_MS = 60;

    private StopCutsAnswer() {}

    static int play(World world) throws IOException {
        String body = "r".repeat(ANSWER_BYTES);
        for (String id : List.of("w-a", "w-b", "w-c")) {
            world.worker(id, "turnbook", 0, call -> {
                call.readBody(Long.MAX_VALUE);
                world.record.line("worker %s: runs %s", id, call.id());
                World.sleep(86);
                call.complete(body);
                world.record.line("worker %s: has sent all of %s", id, call.id());
            });
        }
        world.configure(List.of(World.route("check", "safe", "turnbook", 8000, "")), List.of("turnbook"));
        Gateway gateway = world.readyGateway("front-1");
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            callers.add(new Caller(gateway.callerPort, 10_000).readSlowly(READ_BYTES, READ_PAUSE_MS));
        }
        return stop(world, gateway, callers);
    }

    private static int stop(World world, Gateway gateway, List<Caller> callers) throws IOException {
        long startNanos = System.nanoTime();
        if (world.hasTrouble) {
            gateway.terminate();
            world.record.line("SIGTERM to the gateway; SIGKILL follows after %d ms", GRACE_MS);
            Thread.ofVirtual().start(() -> {
                if (!gateway.awaitEnd(GRACE_MS)) {
                    world.record.line("SIGKILL to the gateway");
                    gateway.kill();
                }
                world.record.line("the gateway has ended");
            });
        }
        World.sleep(SEND_MS);
        AtomicInteger cut = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers.size(); i++) {
            int n = i;
            threads.add(Thread.ofVirtual().start(() -> check(world, callers.get(n), n, startNanos, cut)));
        }
        World.join(threads);
        world.recordLogs();
        world.record.result("LOST: %d of %d requests ended without a complete answer", cut.get(), CLIENTS);
        return cut.get() > 0 ? World.BROKEN : World.HELD;
    }

    private static void check(World world, Caller caller, int n, long startNanos, AtomicInteger cut) {
        try (caller) {
            long sentMs = (System.nanoTime() - startNanos) / 1_000_000;
            caller.send("GET", "/check/turns", "q" + n, 8000, new byte[0], "");
            world.record.line("client: q%d sent %d ms after the SIGTERM", n, sentMs);
            Caller.Answer a = caller.read();
            long endMs = (System.nanoTime() - startNanos) / 1_000_000;
            world.record.line(
                    "client: q%d got %s, %d ms after the SIGTERM, %d ms after it was sent",
                    n, a.text(), endMs, endMs - sentMs);
            cut.addAndGet(a.end() == Caller.End.COMPLETE ? 0 : 1);
        } catch (IOException e) {
            world.record.line("client: q%d could not send: %s", n, e.getMessage());
        }
    }
}
