package org.citrontide.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send requests of half the largest allowed size, and others small ones on kept connections. For some
 * seconds the large ones come two and a half times as often; without the trouble they don't.
 */
final class LargeRequests {
    private static final int LARGE_BYTES = 2_000_000;
    private static final int PIECES = 100;
    private static final int PIECE_PAUSE_MS = 20;
    private static final int USUAL_GAP_MS = 100;
    private static final double BURST = 2.5;
    private static final int BEFORE_MS = 5000;
    private static final int BURST_MS = 6000;
    private static final int AFTER_MS = 5000;
    private static final int KEPT_CLIENTS = 24;
    private static final int WORK_MS = 86;
    private static final int ROUTE_TIMEOUT_MS = 2000;
    private static final int DEADLINE_MS = 4000;
    private static final int LATE_MS = ROUTE_TIMEOUT_MS + 500;
    private static final int MAX_LOST = 3;
    private static final int MIN_LATE = 8;
    private static final String BODY = "b".repeat(800);

    private final World world;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger atTimeout = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final CountDownLatch end = new CountDownLatch(1);

    private LargeRequests(World world) {
        this.world = world;
    }

    static int play(World world) throws IOException {
        return new LargeRequests(world).play();
    }

    private int play() throws IOException {
        for (String id : List.of("w-a", "w-b", "w-c")) {
            world.worker(id, "turnbook", 0, call -> {
                call.readBody(Long.MAX_VALUE);
                ran.add(call.id());
                world.record.line("worker %s: runs %s", id, call.id());
                World.sleep(WORK_MS);
                call.complete(BODY);
            });
        }
        world.configure(
                List.of(
                        World.route("book", "unsafe", "turnbook", ROUTE_TIMEOUT_MS, ""),
                        World.route("check", "safe", "turnbook", ROUTE_TIMEOUT_MS, "")),
                List.of("turnbook"));
        Gateway gateway = world.readyGateway("front-1");
        List<Thread> kept = new ArrayList<>();
        for (int k = 0; k < KEPT_CLIENTS; k++) {
            int n = k;
            kept.add(Thread.ofVirtual().start(() -> keptClient(gateway, n)));
        }
        World.sleep(2000);
        sendLarge(gateway);
        boolean isAlive = gateway.isAlive();
        end.countDown();
        World.join(kept);
        world.recordLogs();
        world.record.result(
                "the gateway's process %s; LOST: %d requests on kept connections ran and got no answer; CONFIG: of %d"
                        + " unanswered at their timeout_ms, %d had no answer 0.5 s later; %d answered",
                isAlive ? "lives" : "ended by itself", lost.get(), atTimeout.get(), late.get(), served.get());
        boolean isLate = late.get() >= MIN_LATE && late.get() * 2 > atTimeout.get();
        return !isAlive || lost.get() > MAX_LOST || isLate ? World.BROKEN : World.HELD;
    }

    private void sendLarge(Gateway gateway) {
        List<Thread> threads = new ArrayList<>();
        sendLarge(gateway, BEFORE_MS, USUAL_GAP_MS, threads);
        int gap = (int) (world.hasTrouble ? USUAL_GAP_MS / BURST : USUAL_GAP_MS);
        world.record.line("a request of %d bytes every %d ms for %d ms", LARGE_BYTES, gap, BURST_MS);
        sendLarge(gateway, BURST_MS, gap, threads);
        world.record.line("a request of %d bytes every %d ms", LARGE_BYTES, USUAL_GAP_MS);
        sendLarge(gateway, AFTER_MS, USUAL_GAP_MS, threads);
        World.join(threads);
    }

    private void sendLarge(Gateway gateway, int forMs, int gapMs, List<Thread> threads) {
        long startNanos = System.nanoTime();
        for (int i = 0; i < forMs / gapMs; i++) {
            World.sleep((long) i * gapMs - (System.nanoTime() - startNanos) / 1_000_000);
            int n = threads.size();
            threads.add(Thread.ofVirtual().start(() -> largeClient(gateway, n)));
        }
    }

    private void largeClient(Gateway gateway, int n) {
        String id = "large" + n;
        try (Caller caller = new Caller(gateway.callerPort, 6000)) {
            caller.sendSlowly(LARGE_BYTES / PIECES, PIECE_PAUSE_MS);
            caller.send("POST", "/book/turn", id, DEADLINE_MS, new byte[LARGE_BYTES], "");
            world.record.line("client: %s sent", id);
            world.record.line("client: %s got %s", id, caller.read().text());
        } catch (IOException e) {
            world.record.line("client: %s failed: %s", id, e.getMessage());
        }
    }

    private void keptClient(Gateway gateway, int n) {
        int i = 0;
        while (end.getCount() > 0) {
            try (Caller caller = new Caller(gateway.callerPort, DEADLINE_MS)) {
                boolean isKept = false;
                while (end.getCount() > 0 && ask(caller, "k" + n + "-" + i++, isKept)) {
                    isKept = true;
                    World.sleep(50);
                }
            } catch (IOException e) {
                world.record.line("client: k%d failed: %s", n, e.getMessage());
                World.sleep(100);
            }
        }
    }

    /** Sends one small request; returns whether it was answered. */
    private boolean ask(Caller caller, String id, boolean isKept) throws IOException {
        long sentNanos = System.nanoTime();
        caller.send("GET", "/check/turn", id, DEADLINE_MS, new byte[0], "");
        Caller.Answer a = caller.read();
        long ms = (System.nanoTime() - sentNanos) / 1_000_000;
        world.record.line("client: %s got %s after %d ms", id, a.text(), ms);
        atTimeout.addAndGet(ms > ROUTE_TIMEOUT_MS ? 1 : 0);
        late.addAndGet(ms > LATE_MS ? 1 : 0);
        boolean isAnswered = a.end() == Caller.End.COMPLETE;
        boolean isClosed = !isAnswered && !a.why().contains("timed out");
        lost.addAndGet(isKept && isClosed && ran.contains(id) ? 1 : 0);
        served.addAndGet(isAnswered ? 1 : 0);
        return isAnswered;
    }
}
