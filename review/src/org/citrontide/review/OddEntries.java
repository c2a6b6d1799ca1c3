package org.citrontide.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves large unreadable entries among the workers'. Then a worker leaves: it reports draining, serves
 * on for a while and ends. Without the trouble there are no such entries.
 */
final class OddEntries {
    private static final int ENTRIES = 8;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final int ENTRY_GAP_MS = 50;
    private static final int CLIENTS_PER_GATEWAY = 12;
    private static final int WORK_MS = 86;
    private static final int PAUSE_MS = 50;
    private static final String LEAVING = "w-a";
    private static final long DRAIN_MS = 2000;
    private static final long SERVES_ON_MS = 6000;

    private final World world;
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final Map<String, Boolean> answered = new ConcurrentHashMap<>();
    private final Map<String, Boolean> ranAtLeaving = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long ackNanos;
    private volatile boolean isOver;

    private OddEntries(World world) {
        this.world = world;
    }

    static int play(World world) throws IOException {
        return new OddEntries(world).play();
    }

    private int play() throws IOException {
        for (String id : List.of(LEAVING, "w-b", "w-c")) {
            world.worker(id, "turnbook", 0, call -> answer(id, call));
        }
        world.configure(List.of(World.route("book", "unsafe", "turnbook", 2000, "")), List.of("turnbook"));
        List<Gateway> gateways = world.readyPair();
        List<Thread> clients = new ArrayList<>();
        for (Gateway g : gateways) {
            for (int c = 0; c < CLIENTS_PER_GATEWAY; c++) {
                int n = clients.size();
                clients.add(Thread.ofVirtual().start(() -> client(g, n)));
            }
        }
        World.sleep(4000);
        for (int i = 0; i < ENTRIES && world.hasTrouble; i++) {
            world.store.put("servers/odd-" + i, "x".repeat(ENTRY_BYTES));
            world.record.line("another writer: %d unreadable bytes in servers/odd-%d", ENTRY_BYTES, i);
            World.sleep(ENTRY_GAP_MS);
        }
        World.sleep(500);
        leave(world.workers.getFirst());
        isOver = true;
        World.join(clients);
        long lost = ranAtLeaving.keySet().stream()
                .filter(id -> isLate(id) && !answered.getOrDefault(id, false))
                .count();
        world.recordLogs();
        world.record.result(
                "DRAIN: %d requests reached %s later than %d ms after the store had acknowledged that it drains;"
                        + " %d of them ran there and got no success",
                late.get(), LEAVING, DRAIN_MS, lost);
        return late.get() > 0 ? World.BROKEN : World.HELD;
    }

    private void leave(Worker worker) throws IOException {
        worker.drain();
        world.store.put("servers/" + worker.id, worker.entry());
        ackNanos = System.nanoTime();
        world.record.line("worker %s: the store has acknowledged draining", worker.id);
        World.sleep(SERVES_ON_MS);
        world.workers.remove(worker);
        worker.close();
        world.store.remove("servers/" + worker.id);
        world.record.line("worker %s: has ended", worker.id);
        World.sleep(3000);
    }

    /** Returns whether the request was sent so late that it must not reach the leaving worker. */
    private boolean isLate(String id) {
        return ackNanos != 0 && sentNanos.get(id) - ackNanos > DRAIN_MS * 1_000_000;
    }

    private void client(Gateway gateway, int n) {
        for (int i = 0; !isOver; i++) {
            String id = "c" + n + "-" + i;
            try (Caller caller = new Caller(gateway.callerPort, 6000)) {
                sentNanos.put(id, System.nanoTime());
                caller.send("POST", "/book/turn", id, 4000, new byte[600], "");
                Caller.Answer a = caller.read();
                answered.put(id, a.status() == 200 && a.end() == Caller.End.COMPLETE);
                world.record.line("client: %s got %s", id, a.text());
            } catch (IOException e) {
                world.record.line("client: %s failed: %s", id, e.getMessage());
            }
            World.sleep(PAUSE_MS);
        }
    }

    private void answer(String id, Worker.Call call) throws IOException {
        call.readBody(Long.MAX_VALUE);
        boolean isLateHere = id.equals(LEAVING) && isLate(call.id());
        world.record.line("worker %s: runs %s%s", id, call.id(), isLateHere ? " LATE" : "");
        if (isLateHere) {
            late.incrementAndGet();
            ranAtLeaving.put(call.id(), true);
        }
        World.sleep(WORK_MS);
        call.complete("b".repeat(800));
    }
}
