package org.citrontide.review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's metadata store: pages, watches, transactions and leases as PROTOCOL.md describes them.
 * Every response takes some milliseconds. Thread-safe.
 */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_048_576;
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision, long nanos) {}

    private static final class Lease {
        final long ttlMs;
        long endNanos;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            renew();
        }

        void renew() {
            endNanos = System.nanoTime() + ttlMs * 1_000_000;
        }
    }

    private final HttpServer server;
    private final Record record;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long compacted;
    private long lastLease = 1000;
    private volatile long answerMs = 4;
    private volatile boolean isClosed;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.createContext("/", this::serve);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.start();
        Thread.ofVirtual().start(this::expire);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Sets the time that each answer takes. */
    void setAnswerMs(long ms) {
        answerMs = ms;
    }

    /** Writes an item as the operator or a worker does; returns its revision once the write is acknowledged. */
    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        delete(key);
    }

    private long write(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(key, item, revision, System.nanoTime()));
        notifyAll();
        return revision;
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, null, revision, System.nanoTime()));
            notifyAll();
        }
    }

    private void expire() {
        while (!isClosed) {
            synchronized (this) {
                long now = System.nanoTime();
                leases.entrySet().stream()
                        .filter(e -> e.getValue().endNanos < now)
                        .map(Map.Entry::getKey)
                        .toList()
                        .forEach(this::endLease);
                while (!history.isEmpty() && now - history.getFirst().nanos() > HISTORY_NANOS) {
                    compacted = history.removeFirst().revision();
                }
            }
            World.sleep(20);
        }
    }

    private void endLease(long number) {
        leases.remove(number);
        items.values().stream()
                .filter(i -> i.lease() == number)
                .map(Item::key)
                .toList()
                .forEach(this::delete);
    }

    private void serve(HttpExchange call) throws IOException {
        byte[] body = call.getRequestBody().readAllBytes();
        World.sleep(answerMs);
        Map<String, String> query = query(call.getRequestURI().getRawQuery());
        String path = call.getRequestURI().getPath();
        switch (path) {
            case "/-/kv-range" -> range(call, query);
            case "/-/kv-watch" -> watch(call, query);
            case "/-/kv-txn" -> transaction(call, Json.object(Json.parse(new String(body, StandardCharsets.UTF_8))));
            case "/-/kv-lease" -> grantLease(call, Json.object(Json.parse(new String(body, StandardCharsets.UTF_8))));
            default -> lease(call, path);
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static Map<String, Object> json(Item i) {
        Map<String, Object> o = new LinkedHashMap<>();
        o.put("key", i.key());
        o.put("value", Base64.getEncoder().encodeToString(i.value()));
        o.put("revision", i.revision());
        o.put("created", i.created());
        o.put("lease", i.lease());
        return o;
    }

    private void range(HttpExchange call, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<Object> list = new ArrayList<>();
        boolean isTruncated = false;
        long at;
        synchronized (this) {
            at = revision;
            long bytes = 0;
            for (Item i : items.tailMap(after, false).values()) {
                if (!i.key().startsWith(prefix)) {
                    continue;
                }
                bytes += i.value().length;
                if (!list.isEmpty() && (list.size() >= PAGE_ITEMS || bytes > PAGE_BYTES)) {
                    isTruncated = true;
                    break;
                }
                list.add(json(i));
            }
        }
        if (isTruncated || !after.isEmpty()) {
            record.line("store: page after '%s', items %d, truncated %s, at %d", after, list.size(), isTruncated, at);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("items", list);
        body.put("truncated", isTruncated);
        body.put("at", at);
        answer(call, 200, body);
    }

    private void watch(HttpExchange call, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        Map<String, Object> body = new LinkedHashMap<>();
        synchronized (this) {
            while (true) {
                if (after < compacted) {
                    body = null;
                    break;
                }
                List<Event> events = history.stream()
                        .filter(e -> e.revision() > after && e.key().startsWith(prefix))
                        .toList();
                long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMs <= 0) {
                    body.put("events", events.stream().map(Store::json).toList());
                    body.put("at", revision);
                    break;
                }
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
        if (body == null) {
            answer(call, 410, Map.of());
        } else {
            answer(call, 200, body);
        }
    }

    private static Object json(Event e) {
        if (e.item() != null) {
            return json(e.item());
        }
        Map<String, Object> o = new LinkedHashMap<>();
        o.put("key", e.key());
        o.put("revision", e.revision());
        o.put("deleted", true);
        return o;
    }

    private void transaction(HttpExchange call, Map<String, Object> t) throws IOException {
        Map<String, Object> body = new LinkedHashMap<>();
        int status = 200;
        synchronized (this) {
            for (Object row : Json.array(t.get("precondition"))) {
                Map<String, Object> p = Json.object(row);
                Item i = items.get((String) p.get("key"));
                if ((i == null ? 0 : i.revision()) != (Long) p.get("revision")) {
                    status = 412;
                }
            }
            for (Object row : Json.array(t.get("puts"))) {
                long lease = leaseOf(Json.object(row));
                if (lease != 0 && !leases.containsKey(lease)) {
                    status = 404;
                }
            }
            if (status == 200) {
                for (Object row : Json.array(t.get("puts"))) {
                    Map<String, Object> p = Json.object(row);
                    write((String) p.get("key"), Base64.getDecoder().decode((String) p.get("value")), leaseOf(p));
                }
                for (Object key : Json.array(t.get("remove"))) {
                    delete((String) key);
                }
            }
            body.put("revision", revision);
        }
        answer(call, status, body);
    }

    private static long leaseOf(Map<String, Object> put) {
        return put.get("lease") instanceof Long l ? l : 0;
    }

    private void grantLease(HttpExchange call, Map<String, Object> request) throws IOException {
        long ttl = Math.clamp((Long) request.get("ttl_ms"), 1000, 600_000);
        Map<String, Object> body = new LinkedHashMap<>();
        synchronized (this) {
            leases.put(++lastLease, new Lease(ttl));
            body.put("lease", lastLease);
        }
        body.put("ttl_ms", ttl);
        answer(call, 200, body);
    }

    private void lease(HttpExchange call, String path) throws IOException {
        long number = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Map<String, Object> body = new LinkedHashMap<>();
        int status = 200;
        synchronized (this) {
            Lease lease = leases.get(number);
            if (lease == null) {
                status = 404;
            } else if (path.startsWith("/-/kv-keep/")) {
                lease.renew();
                body.put("ttl_ms", lease.ttlMs);
            } else {
                endLease(number);
            }
        }
        answer(call, status, body);
    }

    private static void answer(HttpExchange call, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    @Override
    public void close() {
        isClosed = true;
        server.stop(0);
    }
}
