package org.citrontide.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep connections to a gateway that gets SIGTERM, and send streaming requests on them a little more than three
 * seconds later. Without the trouble no SIGTERM is sent.
 */
final class StopCutsStream {
    private static final int CLIENTS = 10;
    private static final long GRACE_MS = 8000;
    private static final long FIRST_SEND_MS = 3050;
    private static final long SEND_STEP_MS = 10;
    private static final int EVENTS = 44;
    private static final int GAP_MS = 110;
    private static final int TOKENS_PER_EVENT = 5;

    private StopCutsStream() {}

    static int play(World world) throws IOException {
        for (String id : List.of("w-a", "w-b", "w-c")) {
            world.worker(id, "roster", 0, call -> stream(world, id, call));
        }
        String streaming = ",\"sticky\":true,\"can_resume\":true,\"target_gap_ms\":120";
        world.configure(List.of(World.route("ask", "streaming", "roster", 8000, streaming)), List.of("roster"));
        Gateway gateway = world.readyGateway("front-1");
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Caller caller = new Caller(gateway.callerPort, 10_000);
            caller.send("POST", "/ask/gate", "warm" + i, 8000, new byte[0], prompt(1));
            world.record.line("client: warm%d got %s", i, caller.read().text());
            callers.add(caller);
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
            });
        }
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers.size(); i++) {
            int n = i;
            World.sleep(FIRST_SEND_MS + i * SEND_STEP_MS - (System.nanoTime() - startNanos) / 1_000_000);
            threads.add(Thread.ofVirtual().start(() -> ask(world, callers.get(n), n, startNanos, cut, refused)));
        }
        World.join(threads);
        world.recordLogs();
        world.record.result(
                "LOST: %d of %d requests ended without a complete answer, %d were refused with 503",
                cut.get(), CLIENTS, refused.get());
        return cut.get() > 0 ? World.BROKEN : World.HELD;
    }

    private static void ask(
            World world, Caller caller, int n, long startNanos, AtomicInteger cut, AtomicInteger refused) {
        try (caller) {
            long sentMs = (System.nanoTime() - startNanos) / 1_000_000;
            caller.send("POST", "/ask/gate", "late" + n, 8000, new byte[700], prompt(EVENTS));
            world.record.line("client: late%d sent %d ms after the SIGTERM", n, sentMs);
            Caller.Answer a = caller.read();
            long endMs = (System.nanoTime() - startNanos) / 1_000_000;
            world.record.line(
                    "client: late%d got %s, %d ms after the SIGTERM, %d ms after it was sent",
                    n, a.text(), endMs, endMs - sentMs);
            refused.addAndGet(a.status() == 503 ? 1 : 0);
            cut.addAndGet(a.end() == Caller.End.CUT || a.end() == Caller.End.NONE ? 1 : 0);
        } catch (IOException e) {
            world.record.line("client: late%d could not send: %s", n, e.getMessage());
        }
    }

    /** Returns the header fields of a prompt whose answer has so many events. */
    private static String prompt(int events) {
        return "Citrontide-Model: m\r\nCitrontide-Token-Count: 674," + events * TOKENS_PER_EVENT
                + "\r\nCitrontide-Prompt-Prefix: 5c1e07a2:40,e4402b7d:634\r\n";
    }

    private static void stream(World world, String id, Worker.Call call) throws IOException, InterruptedException {
        call.readBody(Long.MAX_VALUE);
        String tokens = call.headers.get("citrontide-token-count");
        int events = Integer.parseInt(tokens.substring(tokens.indexOf(',') + 1)) / TOKENS_PER_EVENT;
        int from = Integer.parseInt(call.headers.getOrDefault("last-event-id", "0")) + 1;
        world.record.line("worker %s: runs %s from event %d", id, call.id(), from);
        call.head(
                "200 OK",
                "Content-Type: text/event-stream\r\nKeep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n");
        for (int e = from; e <= events; e++) {
            Thread.sleep(GAP_MS);
            String event = "id: " + e + "\ndata: word " + e + "\n\n";
            call.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        call.write("0\r\n\r\n");
        world.record.line("worker %s: has sent all of %s", id, call.id());
    }
}
