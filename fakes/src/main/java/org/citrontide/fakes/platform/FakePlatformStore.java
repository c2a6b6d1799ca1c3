package org.citrontide.fakes.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citrontide.fakes.http.FakeServer;

/** A fake of the platform's metadata store with items, watches, transactions and leases. Thread-safe. */
public final class FakePlatformStore implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;
    private static final long POLL_INTERVAL_MS = 5;

    /** A change of a key. The value is Base64, and empty if the key was removed. */
    record Change(String key, Optional<String> value, long revision, long lease) {}

    /**
     * A copy of the store, to which it can return. Immutable.
     *
     * @param items the items by key
     * @param history the changes that a watch can still return
     * @param revision revision of the store
     * @param compactedRevision last revision whose history was discarded
     * @param leases leases that have not ended
     */
    public record Snapshot(
            Map<String, Change> items, List<Change> history, long revision, long compactedRevision, Set<Long> leases) {

        /** Copies the collections. */
        public Snapshot {
            items = Map.copyOf(items);
            history = List.copyOf(history);
            leases = Set.copyOf(leases);
        }
    }

    /** Availability of the store. */
    public enum Mode {
        /** Serves requests. */
        UP,
        /** Answers each request with 503. */
        REFUSING,
        /** Closes each connection without a response. */
        DISCONNECTING,
        /** Accepts each request and delays the response until the mode changes. */
        HANGING
    }

    private final JsonMapper mapper = new JsonMapper();
    private final TreeMap<String, Change> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final FakeServer server;
    private long revision = 1;
    private long compactedRevision;
    private long lastLease;
    private final Set<Long> leases = new HashSet<>();
    private int era = 1;
    private Optional<String> eraHeader = Optional.empty();
    private Mode mode = Mode.UP;
    private int readCount;
    private int maxPageItems = Integer.MAX_VALUE;
    private Runnable pageListener = () -> {};

    /**
     * Starts the store on a free port.
     *
     * @throws IOException if no port can be bound
     */
    public FakePlatformStore() throws IOException {
        server = new FakeServer(new InetSocketAddress("127.0.0.1", 0), this::serve);
    }

    /**
     * Returns the TCP port on which the store listens.
     *
     * @return TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the number of reads and watches so far, including those that failed.
     *
     * @return number of GET requests
     */
    public synchronized int readCount() {
        return readCount;
    }

    /**
     * Sets the mode.
     *
     * @param m the new mode
     */
    public synchronized void setMode(Mode m) {
        mode = m;
    }

    /**
     * Writes an item without a lease and without a precondition, as the operator and the upstreams do.
     *
     * @param key key of the item
     * @param text value of the item
     */
    public synchronized void put(String key, String text) {
        write(key, Optional.of(Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8))), 0);
    }

    /**
     * Removes an item.
     *
     * @param key key of the item
     */
    public synchronized void remove(String key) {
        write(key, Optional.empty(), 0);
    }

    /** Discards the history. A watch from an earlier revision fails, and its client must list the items again. */
    public synchronized void compact() {
        compactedRevision = revision;
        history.clear();
    }

    /**
     * Returns a copy of the store.
     *
     * @return the copy
     */
    public synchronized Snapshot takeSnapshot() {
        return new Snapshot(items, history, revision, compactedRevision, leases);
    }

    /**
     * Returns to a copy, which begins a new era: what was written since is lost, leases too, and revisions are given
     * out again. Pending calls are cut.
     *
     * @param copy the copy
     */
    public synchronized void restore(Snapshot copy) {
        era++;
        items.clear();
        items.putAll(copy.items());
        history.clear();
        history.addAll(copy.history());
        revision = copy.revision();
        compactedRevision = copy.compactedRevision();
        leases.clear();
        leases.addAll(copy.leases());
    }

    /**
     * Sets the text of the header field that names the era, instead of the number of the era.
     *
     * @param text the text, empty for the number of the era
     */
    public synchronized void setEraHeader(Optional<String> text) {
        eraHeader = text;
    }

    /**
     * Returns the revision of the last change.
     *
     * @return the revision
     */
    public synchronized long revision() {
        return revision;
    }

    /**
     * Limits the number of items on a page.
     *
     * @param maxItems maximum number of items
     * @param listener called after each page that is not the last one, before the next one is read
     */
    public synchronized void setPages(int maxItems, Runnable listener) {
        maxPageItems = maxItems;
        pageListener = listener;
    }

    /**
     * Returns whether a key exists.
     *
     * @param key the key
     * @return whether the key exists
     */
    public synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    @Override
    public void close() {
        server.close();
    }

    private FakeServer.Reply serve(FakeServer.Call call) throws IOException, InterruptedException {
        int eraAtStart = era();
        FakeServer.Reply reply = serveInEra(call);
        synchronized (this) {
            if (era != eraAtStart) {
                throw new IOException("the store has returned to a copy");
            }
            call.setHeader("Store-Era", eraHeader.orElse(Integer.toString(era)));
            return reply;
        }
    }

    private synchronized int era() {
        return era;
    }

    private FakeServer.Reply serveInEra(FakeServer.Call call) throws IOException, InterruptedException {
        synchronized (this) {
            readCount += call.target().startsWith("GET ") ? 1 : 0;
            if (mode == Mode.REFUSING) {
                return FakeServer.Reply.status(UNAVAILABLE);
            }
            if (mode == Mode.DISCONNECTING) {
                throw new IOException("fake store is disconnecting");
            }
        }
        while (isHanging()) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
        String target = call.target();
        if (target.equals("GET /-/kv-range")) {
            return range(call.query("prefix"), call.query("after"));
        }
        if (target.equals("GET /-/kv-watch")) {
            return watch(call.query("prefix"), call.query("after", 0), call.query("wait_ms", 0));
        }
        if (target.equals("POST /-/kv-txn")) {
            return transaction(mapper.readTree(call.body()));
        }
        return lease(target);
    }

    private synchronized boolean isHanging() {
        return mode == Mode.HANGING;
    }

    private synchronized FakeServer.Reply range(String prefix, String after) {
        ObjectNode body = mapper.createObjectNode();
        ArrayNode list = body.putArray("items");
        List<Change> remaining = items.tailMap(after, false).values().stream()
                .filter(c -> c.key().startsWith(prefix))
                .toList();
        remaining.stream().limit(maxPageItems).forEach(c -> add(list, c));
        boolean isTruncated = remaining.size() > maxPageItems;
        body.put("truncated", isTruncated).put("at", revision);
        if (isTruncated) {
            pageListener.run();
        }
        return FakeServer.Reply.json(body.toString());
    }

    private FakeServer.Reply watch(String prefix, long after, long waitMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            synchronized (this) {
                if (after < compactedRevision || after > revision) {
                    return FakeServer.Reply.status(GONE);
                }
                List<Change> newChanges = history.stream()
                        .filter(c -> c.revision() > after && c.key().startsWith(prefix))
                        .toList();
                if (!newChanges.isEmpty() || System.nanoTime() > deadlineNanos) {
                    ObjectNode body = mapper.createObjectNode();
                    ArrayNode events = body.putArray("events");
                    newChanges.forEach(c -> add(events, c));
                    body.put("at", revision);
                    return FakeServer.Reply.json(body.toString());
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private synchronized FakeServer.Reply transaction(JsonNode t) {
        for (JsonNode p : t.path("precondition")) {
            Change c = items.get(p.path("key").asText());
            if ((c == null ? 0 : c.revision()) != p.path("revision").asLong()) {
                return FakeServer.Reply.status(PRECONDITION_FAILED);
            }
        }
        for (JsonNode p : t.path("puts")) {
            write(
                    p.path("key").asText(),
                    Optional.of(p.path("value").asText()),
                    p.path("lease").asLong());
        }
        t.path("remove").forEach(key -> write(key.asText(), Optional.empty(), 0));
        return FakeServer.Reply.json(
                mapper.createObjectNode().put("revision", revision).toString());
    }

    private synchronized FakeServer.Reply lease(String target) {
        if (target.equals("POST /-/kv-lease")) {
            lastLease++;
            leases.add(lastLease);
            return FakeServer.Reply.json(mapper.createObjectNode()
                    .put("lease", lastLease)
                    .put("ttl_ms", 2000)
                    .toString());
        }
        if (target.startsWith("POST /-/kv-keep/")) {
            return leases.contains(leaseNumber(target))
                    ? FakeServer.Reply.json("{\"ttl_ms\":2000}")
                    : FakeServer.Reply.status(NOT_FOUND);
        }
        if (target.startsWith("DELETE /-/kv-lease-end/")) {
            long endedLease = leaseNumber(target);
            leases.remove(endedLease);
            items.values().stream()
                    .filter(c -> c.lease() == endedLease)
                    .map(Change::key)
                    .toList()
                    .forEach(k -> write(k, Optional.empty(), 0));
            return FakeServer.Reply.status(OK);
        }
        return FakeServer.Reply.status(NOT_FOUND);
    }

    private static long leaseNumber(String target) {
        return Long.parseLong(target.substring(target.lastIndexOf('/') + 1));
    }

    private void write(String key, Optional<String> value, long lease) {
        revision++;
        Change c = new Change(key, value, revision, lease);
        history.add(c);
        if (value.isPresent()) {
            items.put(key, c);
        } else {
            items.remove(key);
        }
    }

    private static void add(ArrayNode list, Change c) {
        ObjectNode o = list.addObject().put("key", c.key()).put("revision", c.revision());
        if (c.value().isPresent()) {
            o.put("value", c.value().get()).put("created", c.revision()).put("lease", c.lease());
        } else {
            o.put("deleted", true);
        }
    }
}
