package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakePlatformStore;

/**
 * Two gateways, three workers, a store. The open connections to the store fall silent once, new ones work. Right after
 * it, one worker's entry is removed as planned work: it goes on serving, and exits later.
 */
final class SilentStore {
    private static final int GATEWAYS = 2;
    private static final int WORKERS = 3;
    private static final int CLIENTS = 4;
    private static final String LEAVING = "i-3";
    private static final long BEAT_MS = 1200;
    private static final long WORK_MS = 150;
    private static final double CONTACT_S = 3.0;
    private static final double DRAIN_S = 2.0;
    // The worker stays for drain_ms and a little longer.
    private static final long STAY_MS = 3300;
    private static final double NANOS = 1e9;

    private final Map<String, Long> sent = new ConcurrentHashMap<>();
    private final List<String> late = new ArrayList<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicBoolean isOver = new AtomicBoolean();
    private volatile long silentNanos;
    private volatile long removedNanos;

    public static void main(String[] args) {
        Rig.main(args, rig -> new SilentStore().play(rig));
    }

    private List<String> play(Rig rig) throws Exception {
        FakePlatformStore store = rig.store();
        List<FakeHttpUpstream> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            String id = "i-" + i;
            workers.add(rig.worker(id, (request, reply) -> run(rig, id, request, reply)));
        }
        startBeats(store, workers);
        store.put(
                "op/config",
                Rig.config(7, Rig.route("book", "unsafe", "turnbook", 4000, ""), Rig.service("turnbook"), 15000));
        List<Rig.Gateway> gateways = new ArrayList<>();
        List<Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(rig.new Gateway("front-" + (i + 1)));
            Proxy p = new Proxy(store.port());
            rig.own(p);
            proxies.add(p);
        }
        List<Integer> peers = gateways.stream().map(g -> g.peerPort).toList();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.get(i).start(proxies.get(i).port(), peers, "");
        }
        for (Rig.Gateway g : gateways) {
            g.awaitReady();
        }
        for (Rig.Gateway g : gateways) {
            for (int i = 0; i < CLIENTS; i++) {
                String name = g.vm + "-" + i + "-";
                Thread.ofVirtual().start(() -> callRepeatedly(rig, g, name));
            }
        }
        Thread.sleep(6000 + new Random().nextInt(1500));

        if (rig.trouble) {
            for (Proxy p : proxies) {
                rig.log("open connections to the store that fall silent: " + p.silence());
            }
        }
        silentNanos = System.nanoTime();
        Thread.sleep(300);
        synchronized (this) {
            store.remove("servers/" + LEAVING);
            removedNanos = System.nanoTime();
        }
        rig.log("the store accepted the removal of servers/" + LEAVING);
        Thread.sleep(STAY_MS);
        workers.get(WORKERS - 1).close();
        rig.log(LEAVING + " exits");
        Thread.sleep(3000);
        isOver.set(true);
        Thread.sleep(500);
        rig.log("bookings that ended without a success: " + lost.get());
        for (Rig.Gateway g : gateways) {
            g.logText().lines().filter(l -> l.contains("store-") || l.contains("upstream-removed")).forEach(rig::log);
        }
        synchronized (late) {
            return List.copyOf(late);
        }
    }

    private void startBeats(FakePlatformStore store, List<FakeHttpUpstream> workers) {
        Thread.ofPlatform().daemon().start(() -> {
            try {
                for (int sequence = 1; true; sequence++) {
                    for (FakeHttpUpstream w : workers) {
                        synchronized (this) {
                            if (removedNanos == 0 || !w.id().equals(LEAVING)) {
                                String entry = w.entry("turnbook", "ready");
                                store.put("servers/" + w.id(), entry.replace("\"sequence\":1", "\"sequence\":" + sequence));
                            }
                        }
                        Thread.sleep(BEAT_MS / WORKERS);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void run(Rig rig, String worker, FakeHttpUpstream.ReceivedRequest request, FakeHttpUpstream.Reply reply)
            throws java.io.IOException, InterruptedException {
        String id = request.header("Citrontide-Attempt-Id");
        if (sent.containsKey(id)) {
            long now = System.nanoTime();
            rig.log("run id=" + id + " worker=" + worker);
            // From machines in touch: the client sent the request and it arrived contact_ms after the silence began.
            long since = Math.max(silentNanos, 0);
            boolean isInTouch = since > 0 && (sent.get(id) - since) / NANOS > CONTACT_S;
            double afterRemoval = (now - removedNanos) / NANOS;
            if (worker.equals(LEAVING) && removedNanos > 0 && isInTouch && afterRemoval > DRAIN_S) {
                synchronized (late) {
                    late.add(String.format(
                            "DRAIN id=%s reached %s %.3f s after the store accepted its removal, %.3f s after the silence",
                            id, worker, afterRemoval, (now - since) / NANOS));
                }
            }
        }
        Thread.sleep(WORK_MS);
        reply.writeResponse("200 OK", "booked");
    }

    private void callRepeatedly(Rig rig, Rig.Gateway gateway, String name) {
        int number = 0;
        while (!isOver.get()) {
            try (Rig.Client c = new Rig.Client(gateway.callerPort)) {
                while (!isOver.get()) {
                    String id = name + number++;
                    sent.put(id, System.nanoTime());
                    rig.log("sent id=" + id);
                    String outcome = "closed";
                    try {
                        c.request("POST", "/book/turn", id, 4000, "x");
                        Rig.Client.Response r = c.readResponse();
                        outcome = r.complete ? Integer.toString(r.status) : "incomplete";
                    } finally {
                        rig.log("answered id=" + id + " " + outcome);
                        if (!outcome.equals("200")) {
                            lost.incrementAndGet();
                        }
                    }
                    Thread.sleep(30);
                }
            } catch (java.io.IOException | InterruptedException e) {
                // Connects anew.
            }
        }
    }
}
