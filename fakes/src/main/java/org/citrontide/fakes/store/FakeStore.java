package org.citrontide.fakes.store;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.fakes.http.FakeServer;

/**
 * A fake of the platform's key-value service as specified in {@code docs/STORE-PROTOCOL.md}: values with revisions,
 * compare-and-set, leases, watches by long polling, and lists of VMs. All data is in memory.
 *
 * <p>Invariant: a revision is never reused, not even after a restore. Thread-safe.
 */
public final class FakeStore implements FakeServer.RequestHandler {
    private static final String VALUES = "/v1/values/";
    private static final String VMS = "/v1/vms/";
    private static final String LEASES = "/v1/leases";
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int OK = 200;
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, false);

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> leaseEndNanos = new HashMap<>();
    private final Map<String, Long> callsByKind = new TreeMap<>();
    private Map<String, Entry> snapshot = Map.of();
    private StoreFaults faults = StoreFaults.NONE;
    private long revision;
    private long nextLeaseNumber = 1;
    private long currentSecond;
    private int callsInSecond;

    @Override
    public FakeServer.Reply serve(FakeServer.Call call) throws IOException, InterruptedException {
        String target = call.target();
        if (target.contains(" /fake/")) {
            return handleControl(target, call);
        }
        long delay = admitCall(target);
        if (delay < 0) {
            return FakeServer.Reply.status(TOO_MANY_REQUESTS);
        }
        TimeUnit.MILLISECONDS.sleep(delay);
        String path = target.substring(target.indexOf(' ') + 1);
        if (target.startsWith("GET " + VALUES)) {
            return get(path.substring(VALUES.length()), call);
        }
        if (target.startsWith("PUT " + VALUES)) {
            return put(path.substring(VALUES.length()), call);
        }
        if (target.startsWith("GET " + VMS)) {
            return get(path.substring(1), call);
        }
        if (path.startsWith(LEASES)) {
            return handleLease(target, call);
        }
        return FakeServer.Reply.status(NOT_FOUND);
    }

    /** Counts a call and returns its delay in ms, or -1 if it exceeds the maximum rate. */
    private synchronized long admitCall(String target) throws IOException {
        String kind = target.startsWith("PUT") || target.startsWith("POST") ? "write" : "read";
        callsByKind.merge(kind, 1L, Long::sum);
        if (faults.down()) {
            throw new IOException("injected fault: the store is down");
        }
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        callsInSecond = now == currentSecond ? callsInSecond + 1 : 1;
        currentSecond = now;
        if (faults.maxCallsPerSecond() > 0 && callsInSecond > faults.maxCallsPerSecond()) {
            return -1;
        }
        return faults.delayMillis();
    }

    private synchronized FakeServer.Reply get(String key, FakeServer.Call call)
            throws IOException, InterruptedException {
        long after = call.query("after", -1);
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(call.query("wait_ms", 0));
        long deadlineNanos = System.nanoTime() + waitNanos;
        while (true) {
            if (faults.down()) {
                throw new IOException("injected fault: the store is down");
            }
            expireLeases();
            Entry v = entries.get(key);
            long now = System.nanoTime();
            boolean isVisible = v != null && now >= v.visibleNanos();
            long current = isVisible ? v.revision() : 0;
            if (after < 0 || current != after) {
                return isVisible
                        ? new FakeServer.Reply(OK, v.revision(), v.value())
                        : FakeServer.Reply.status(NOT_FOUND);
            }
            if (now >= deadlineNanos) {
                return FakeServer.Reply.status(NOT_MODIFIED);
            }
            long pauseNanos =
                    Math.min(deadlineNanos - now, v == null || isVisible ? Long.MAX_VALUE : v.visibleNanos() - now);
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(pauseNanos, TimeUnit.MILLISECONDS.toNanos(1)));
        }
    }

    private synchronized FakeServer.Reply put(String key, FakeServer.Call call) throws IOException {
        if (call.body().length > MAX_VALUE_BYTES) {
            return FakeServer.Reply.status(CONTENT_TOO_LARGE);
        }
        expireLeases();
        long expected = Long.parseLong(call.header("Expected-Revision", "0"));
        Entry old = entries.get(key);
        if ((old == null ? 0 : old.revision()) != expected) {
            return FakeServer.Reply.status(CONFLICT);
        }
        String lease = call.header("Lease", "");
        if (!lease.isEmpty() && !leaseEndNanos.containsKey(lease)) {
            return FakeServer.Reply.status(NOT_FOUND);
        }
        putEntry(key, call.body(), lease, 0);
        if (faults.loseAnswers() > 0) {
            faults = new StoreFaults(
                    faults.down(),
                    faults.delayMillis(),
                    faults.loseAnswers() - 1,
                    faults.maxCallsPerSecond(),
                    faults.listLagMillis());
            throw new IOException("injected fault: the reply is lost");
        }
        return new FakeServer.Reply(OK, revision, new byte[0]);
    }

    private void putEntry(String key, byte[] value, String lease, long lagMillis) {
        long visibleNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lagMillis);
        entries.put(key, new Entry(++revision, value, lease, visibleNanos));
        notifyAll();
    }

    private synchronized FakeServer.Reply handleLease(String target, FakeServer.Call call) {
        expireLeases();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.query("ttl_ms", 0));
        if (target.equals("POST " + LEASES)) {
            String id = "lease-" + nextLeaseNumber++;
            leaseEndNanos.put(id, endNanos);
            return FakeServer.Reply.json("\"" + id + "\"");
        }
        String id = target.substring(target.lastIndexOf('/') + 1);
        if (!leaseEndNanos.containsKey(id)) {
            return FakeServer.Reply.status(NOT_FOUND);
        }
        leaseEndNanos.put(id, target.startsWith("DELETE") ? System.nanoTime() : endNanos);
        expireLeases();
        return FakeServer.Reply.status(OK);
    }

    private void expireLeases() {
        long now = System.nanoTime();
        if (leaseEndNanos.values().removeIf(end -> now >= end)) {
            entries.values().removeIf(v -> !v.lease().isEmpty() && !leaseEndNanos.containsKey(v.lease()));
            notifyAll();
        }
    }

    private synchronized FakeServer.Reply handleControl(String target, FakeServer.Call call) throws IOException {
        switch (target) {
            case "POST /fake/faults" -> faults = JSON.readValue(call.body(), StoreFaults.class);
            case "POST /fake/snapshot" -> snapshot = Map.copyOf(entries);
            case "POST /fake/restore" -> {
                entries.clear();
                entries.putAll(snapshot);
            }
            case "GET /fake/calls" -> {
                return FakeServer.Reply.json(JSON.writeValueAsString(callsByKind));
            }
            default -> {
                if (!target.startsWith("PUT /fake/vms/")) {
                    return FakeServer.Reply.status(NOT_FOUND);
                }
                String zone = target.substring("PUT /fake/vms/".length());
                putEntry("v1/vms/" + zone, call.body(), "", faults.listLagMillis());
            }
        }
        notifyAll();
        return FakeServer.Reply.json("{}");
    }

    private record Entry(long revision, byte[] value, String lease, long visibleNanos) {}
}
