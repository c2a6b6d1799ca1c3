package org.citrontide.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What every case starts: a store, gateways and workers, and the record. */
final class World implements AutoCloseable {
    static final Path REPOSITORY = Path.of("").toAbsolutePath();
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Record record;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final Thread hook = new Thread(this::stopGateways);

    World(Path recordFile) throws IOException {
        record = new Record(recordFile);
        record.line("trouble %s", hasTrouble ? "on" : "off");
        store = new Store(record);
        folder = Files.createTempDirectory("citrontide-review");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A route in the form of the configuration. */
    static String route(String prefix, String kind, String service, int timeoutMs, String extra) {
        return "{\"name\":\"r-" + prefix + "\",\"hostname\":\"" + Caller.HOST + "\",\"prefix\":\"/" + prefix
                + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":400,"
                + "\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":2,\"public\":false" + extra + "}";
    }

    /** A configuration with the limits of the example in wire.json. */
    static String configuration(long version, List<String> routes, List<String> services, String keys) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services.stream().map(World::service).toList())
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"one\",\"api_keys\":[" + keys
                + "],\"priority\":1}]}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_check_path\":\"/health\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    Worker worker(String id, String service, int receiveBuffer, Worker.Script script) throws IOException {
        Worker w = new Worker(id, service, receiveBuffer, script);
        workers.add(w);
        store.put("servers/" + id, w.entry());
        return w;
    }

    /** Writes the first configuration, with one key, and starts the workers' heartbeats. */
    void configure(List<String> routes, List<String> services) {
        store.put("op/config", configuration(7, routes, services, "\"" + Caller.KEY + "\""));
        heartbeats();
    }

    /** Starts a gateway without peers and waits until it is ready. */
    Gateway readyGateway(String vm) throws IOException {
        Gateway g = new Gateway(vm, folder);
        startReady(g, List.of());
        return g;
    }

    /** Starts two gateways that are each other's peers, and waits until they are ready. */
    List<Gateway> readyPair() throws IOException {
        List<Gateway> pair = List.of(new Gateway("front-1", folder), new Gateway("front-2", folder));
        for (Gateway g : pair) {
            startReady(g, pair);
        }
        return pair;
    }

    private void startReady(Gateway g, List<Gateway> peers) throws IOException {
        gateways.add(g);
        g.start(store.port(), peers);
        if (!g.awaitReady(30_000)) {
            recordLogs();
            throw new IOException("the gateway did not become ready");
        }
    }

    static void join(List<Thread> threads) {
        for (Thread t : threads) {
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Writes every worker's entry again, as its heartbeat does. */
    private void heartbeats() {
        Thread.ofVirtual().start(() -> {
            while (true) {
                sleep(1200);
                for (Worker w : List.copyOf(workers)) {
                    store.put("servers/" + w.id, w.entry());
                }
            }
        });
    }

    private void stopGateways() {
        gateways.forEach(Gateway::close);
    }

    /** Copies the gateways' logs behind the record. */
    void recordLogs() throws IOException {
        for (Gateway g : gateways) {
            g.logText().lines().forEach(l -> record.line("log: %s", l));
        }
    }

    @Override
    public void close() throws IOException {
        stopGateways();
        for (Worker w : workers) {
            w.close();
        }
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
