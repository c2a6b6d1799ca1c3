import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: items, watches, transactions and leases that end. Thread-safe. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int MIN_TTL_MS = 1_000;
    private static final int MAX_TTL_MS = 600_000;
    private static final int MAX_EVENTS = 20_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    /** A change of a key; the item is null if the key was removed. */
    private record Event(String key, Item item, long revision) {}

    private static final class Lease {
        private final long ttlMs;
        private long endNanos;

        private Lease(long ttlMs) {
            this.ttlMs = ttlMs;
        }
    }

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long nextLease = 1000;
    private volatile boolean isClosed;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::expireLeases);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void expireLeases() {
        while (!isClosed) {
            Rig.sleep(20);
            synchronized (this) {
                long now = System.nanoTime();
                leases.entrySet().stream()
                        .filter(l -> now - l.getValue().endNanos > 0)
                        .map(Map.Entry::getKey)
                        .toList()
                        .forEach(this::endLease);
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
                handle(m, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private void handle(Http.Message m, OutputStream out) throws IOException, InterruptedException {
        Map<String, String> query = query(m.target());
        String path = m.target().split("\\?")[0];
        String prefix = query.getOrDefault("prefix", "");
        switch (path) {
            case "/-/kv-range" -> Http.reply(out, 200, range(prefix, query.getOrDefault("after", "")));
            case "/-/kv-watch" ->
                Http.reply(
                        out,
                        200,
                        watch(
                                prefix,
                                Long.parseLong(query.getOrDefault("after", "0")),
                                Long.parseLong(query.getOrDefault("wait_ms", "0"))));
            case "/-/kv-txn" -> transact(Json.parseObject(m.text()), out);
            case "/-/kv-lease" -> grant(Json.parseObject(m.text()), out);
            default -> handleLease(path, out);
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        for (String pair : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        int bytes = 0;
        boolean isTruncated = false;
        for (Item i : items.tailMap(after, false).values()) {
            if (!i.key().startsWith(prefix)) {
                continue;
            }
            isTruncated = page.size() >= PAGE_ITEMS || bytes > PAGE_BYTES;
            if (isTruncated) {
                break;
            }
            page.add(json(i));
            bytes += i.value().length;
        }
        return "{\"items\":[" + String.join(",", page) + "],\"truncated\":" + isTruncated + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
        while (true) {
            List<String> changes = events.stream()
                    .filter(e -> e.revision() > after && e.key().startsWith(prefix))
                    .map(Store::json)
                    .toList();
            long leftMs = (endNanos - System.nanoTime()) / NANOS_PER_MS;
            if (!changes.isEmpty() || leftMs <= 0) {
                return "{\"events\":[" + String.join(",", changes) + "],\"at\":" + revision + "}";
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(Map<String, Object> t, OutputStream out) throws IOException {
        int status;
        long written;
        synchronized (this) {
            status = check(t);
            if (status == 200) {
                for (Object o : Json.list(t, "puts")) {
                    Map<String, Object> p = (Map<String, Object>) o;
                    byte[] value = Base64.getDecoder().decode((String) p.get("value"));
                    write((String) p.get("key"), value, Json.number(p, "lease", 0));
                }
                Json.list(t, "remove").forEach(key -> delete((String) key));
                notifyAll();
            }
            written = revision;
        }
        Http.reply(out, status, status == 200 ? "{\"revision\":" + written + "}" : "{\"items\":[]}");
    }

    @SuppressWarnings("unchecked")
    private int check(Map<String, Object> t) {
        for (Object o : Json.list(t, "precondition")) {
            Map<String, Object> p = (Map<String, Object>) o;
            Item i = items.get((String) p.get("key"));
            if ((i == null ? 0 : i.revision()) != Json.number(p, "revision", 0)) {
                return 412;
            }
        }
        for (Object o : Json.list(t, "puts")) {
            long lease = Json.number((Map<String, Object>) o, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        return 200;
    }

    private void grant(Map<String, Object> call, OutputStream out) throws IOException {
        long ttlMs = Math.clamp(Json.number(call, "ttl_ms", 0), MIN_TTL_MS, MAX_TTL_MS);
        long number;
        synchronized (this) {
            number = nextLease++;
            Lease lease = new Lease(ttlMs);
            lease.endNanos = System.nanoTime() + ttlMs * NANOS_PER_MS;
            leases.put(number, lease);
        }
        Http.reply(out, 200, "{\"lease\":" + number + ",\"ttl_ms\":" + ttlMs + "}");
    }

    private void handleLease(String path, OutputStream out) throws IOException {
        long number = path.matches(".*/[0-9]+") ? Long.parseLong(path.substring(path.lastIndexOf('/') + 1)) : 0;
        boolean isKnown;
        synchronized (this) {
            Lease lease = leases.get(number);
            isKnown = lease != null;
            if (isKnown && path.startsWith("/-/kv-keep/")) {
                lease.endNanos = System.nanoTime() + lease.ttlMs * NANOS_PER_MS;
            } else if (path.startsWith("/-/kv-lease-end/")) {
                endLease(number);
            }
        }
        Http.reply(out, isKnown ? 200 : 404, "{}");
    }

    private void endLease(long number) {
        if (leases.remove(number) != null) {
            items.values().stream()
                    .filter(i -> i.lease() == number)
                    .map(Item::key)
                    .toList()
                    .forEach(this::delete);
        }
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item known = items.get(key);
        Item i = new Item(key, value, revision, known == null ? revision : known.created(), lease);
        items.put(key, i);
        addEvent(new Event(key, i, revision));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            addEvent(new Event(key, null, revision));
            notifyAll();
        }
    }

    private void addEvent(Event e) {
        events.add(e);
        if (events.size() > MAX_EVENTS) {
            events.subList(0, MAX_EVENTS / 2).clear();
        }
    }

    private static String json(Event e) {
        return e.item() != null
                ? json(e.item())
                : "{\"key\":" + Json.quote(e.key()) + ",\"revision\":" + e.revision() + ",\"deleted\":true}";
    }

    private static String json(Item i) {
        return "{\"key\":" + Json.quote(i.key()) + ",\"value\":\""
                + Base64.getEncoder().encodeToString(i.value()) + "\",\"revision\":" + i.revision() + ",\"created\":"
                + i.created() + ",\"lease\":" + i.lease() + "}";
    }
}
