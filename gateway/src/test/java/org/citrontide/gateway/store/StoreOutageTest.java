package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.citrontide.fakes.http.FakeServer;
import org.citrontide.fakes.platform.FakePlatformStore.Mode;
import org.citrontide.platform.MetadataStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which upstreams are listed after connections to the store fell silent, and after outages of the store. */
final class StoreOutageTest extends MirrorHarness {
    private static final int UNAVAILABLE = 503;
    // Entries expire after three heartbeats of about 1.2 s each.
    private static final long OUTAGE_MS = 4000;
    private static final long SHORT_OUTAGE_MS = 3600;
    private static final long REREGISTRATION_PAUSE_MS = 250;
    private static final long BETWEEN_OUTAGES_MS = 1000;
    // The two seconds within which live upstreams write again, and as much as a slow response and a busy machine take.
    private static final Duration MAX_KEPT = Duration.ofMillis(3000);
    // The users' limit for the time until a change is in force while the store doesn't serve some machines.
    private static final Duration MAX_CHANGE_DELAY = Duration.ofSeconds(7);
    // Within the two seconds that live upstreams take at most.
    private static final long LATE_REREGISTRATION_MS = 1500;

    /** Guards against work for an upstream that was removed while the connections to the store were silent. */
    @Test
    void anUpstreamThatIsRemovedWhileConnectionsAreSilentIsNotKept() {
        startUpstreams("a", "b", "c");
        startMirror(List.of());
        proxy.silence();
        leave("c");
        join("d");
        await("the changes were read", () -> lists.latest().contains("d"));
        assertEquals(Set.of("a", "b", "d"), lists.latest());
    }

    /** Guards against the same if the removal is read from a peer, which the store has served all the time. */
    @Test
    void anUpstreamWhoseRemovalIsReadFromAPeerIsNotKept() throws IOException {
        startUpstreams("a", "b", "c");
        StoreMirror peer = startMirror(store.port(), List.of(), new UpstreamLists());
        try (FakeServer pages = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> copyOf(peer))) {
            startMirror(List.of(new InetSocketAddress("127.0.0.1", pages.port())));
            proxy.silence();
            proxy.setHeld(true);
            leave("c");
            join("d");
            await("the changes were read", () -> lists.latest().contains("d"));
            assertEquals(Set.of("a", "b", "d"), lists.latest());
        }
    }

    /** Guards against callers who are refused because the entries of live upstreams expired in an outage. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSING", "DISCONNECTING", "HANGING"})
    void upstreamsWhoseEntriesExpireInAnOutageStayListedUntilTheyWriteAgain(Mode outage) {
        startUpstreams("a", "b", "c", "left");
        startMirror(List.of());
        expireInOutage(outage, "a", "b", "c", "left");
        for (String id : List.of("a", "b", "c")) {
            pause(REREGISTRATION_PAUSE_MS);
            join(id);
        }
        await(
                "the upstream that did not write again is dropped",
                () -> !lists.latest().contains("left"));
        assertTrue(
                lists.all().stream().allMatch(l -> l.containsAll(Set.of("a", "b", "c"))),
                () -> "lists: " + lists.all());
    }

    /** Guards against an upstream that left in an outage and gets work until a change wakes the next watch. */
    @Test
    void aKeptUpstreamIsDroppedInTimeIfNothingChanges() {
        startUpstreams("a", "b", "left");
        startMirror(List.of());
        expireInOutage(Mode.REFUSING, "left");
        int known = lists.all().size();
        await("the removal was read", () -> lists.all().size() > known);
        long keptNanos = System.nanoTime();
        assertTrue(lists.latest().contains("left"));
        await("the upstream is dropped", () -> lists.latest().equals(Set.of("a", "b")));
        Duration kept = Duration.ofNanos(System.nanoTime() - keptNanos);
        assertTrue(kept.compareTo(MAX_KEPT) < 0, () -> "kept for " + kept);
    }

    /** Guards against callers who are refused because entries that expired in one outage are dropped in the next. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSING", "HANGING"})
    void upstreamsKeptAfterAnOutageStayListedInTheNextOne(Mode second) {
        startUpstreams("a", "b", "c");
        startMirror(List.of());
        expireInOutage(Mode.REFUSING, "a", "b", "c");
        pause(BETWEEN_OUTAGES_MS);
        store.setMode(second);
        pause(OUTAGE_MS);
        store.setMode(Mode.UP);
        pause(LATE_REREGISTRATION_MS);
        List.of("a", "b", "c").forEach(this::join);
        int known = lists.all().size();
        await("the new entries are read", () -> lists.all().size() >= known + 3);
        assertTrue(lists.all().stream().allMatch(l -> l.size() == 3), () -> "lists: " + lists.all());
    }

    /** Guards against an upstream that is kept although the store served a peer, to which it showed no change. */
    @Test
    void anUpstreamRemovedAfterAQuietTimeAtAPeerIsNotKept() throws IOException {
        startUpstreams("a", "b", "c");
        StoreMirror peer = startMirror(store.port(), List.of(), new UpstreamLists());
        try (FakeServer pages = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> copyOf(peer))) {
            startMirror(List.of(new InetSocketAddress("127.0.0.1", pages.port())));
            proxy.silence();
            proxy.setHeld(true);
            List.of("a", "b", "c").forEach(this::silence);
            pause(OUTAGE_MS);
            leave("c");
            join("d");
            await("the changes were read", () -> lists.latest().contains("d"));
            assertEquals(Set.of("a", "b", "d"), lists.latest());
        }
    }

    /** Guards against a kept upstream that gets work for as long as a peer, the only source, sees no change. */
    @Test
    void aKeptUpstreamIsDroppedInTimeIfAPeerSeesNoChange() throws IOException {
        startUpstreams("a", "b", "left");
        StoreMirror peer = startMirror(store.port(), List.of(), new UpstreamLists());
        try (FakeServer pages = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> copyOf(peer))) {
            startMirror(List.of(new InetSocketAddress("127.0.0.1", pages.port())));
            proxy.silence();
            proxy.setHeld(true);
            expireInOutage(Mode.REFUSING, "left");
            int known = lists.all().size();
            await("the removal was read", () -> lists.all().size() > known);
            long keptNanos = System.nanoTime();
            assertTrue(lists.latest().contains("left"));
            await("the upstream is dropped", () -> lists.latest().equals(Set.of("a", "b")));
            Duration kept = Duration.ofNanos(System.nanoTime() - keptNanos);
            assertTrue(kept.compareTo(MAX_CHANGE_DELAY) < 0, () -> "kept for " + kept);
        }
    }

    /**
     * Guards against callers who are refused because the old copy of a peer passed for service in the middle of an
     * outage, the rest of which seemed too short for entries to expire.
     */
    @Test
    void anOldCopyOfAPeerDoesNotShortenAnOutage() throws Exception {
        startUpstreams("a", "b", "c");
        AtomicReference<Optional<String>> copy = new AtomicReference<>(Optional.empty());
        try (FakeServer peer = new FakeServer(
                new InetSocketAddress("127.0.0.1", 0),
                call -> copy.getAndSet(Optional.empty())
                        .map(FakeServer.Reply::json)
                        .orElseGet(() -> FakeServer.Reply.status(UNAVAILABLE)))) {
            startMirror(List.of(new InetSocketAddress("127.0.0.1", peer.port())));
            proxy.silence();
            proxy.setHeld(true);
            join("a");
            copy.set(Optional.of(readStore().replace("\"truncated\"", "\"age_ms\":2200,\"truncated\"")));
            List.of("a", "b", "c").forEach(this::silence);
            store.setMode(Mode.HANGING);
            pause(SHORT_OUTAGE_MS);
            assertEquals(Optional.empty(), copy.get(), "the copy was read");
            List.of("a", "b", "c").forEach(this::leave);
            store.setMode(Mode.UP);
            proxy.setHeld(false);
            pause(LATE_REREGISTRATION_MS);
            List.of("a", "b", "c").forEach(this::join);
            int known = lists.all().size();
            await("the new entries are read", () -> lists.all().size() >= known + 3);
        }
        assertTrue(lists.all().stream().allMatch(l -> l.size() == 3), () -> "lists: " + lists.all());
    }

    private String readStore() throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", store.port());
        byte[] page = loop.submit(() ->
                        PlatformClient.forStore(loop).call(address, MetadataStore.range("", ""), Duration.ofSeconds(5)))
                .get()
                .get()
                .body();
        return new String(page, StandardCharsets.UTF_8);
    }

    /** Plays an outage in which no upstream can write and the given entries expire. */
    private void expireInOutage(Mode outage, String... ids) {
        store.setMode(outage);
        List.of("a", "b", "c", "left").forEach(this::silence);
        pause(OUTAGE_MS);
        List.of(ids).forEach(this::leave);
        store.setMode(Mode.UP);
    }

    private FakeServer.Reply copyOf(StoreMirror peer) {
        Optional<byte[]> page = loop.submit(peer::page).syncUninterruptibly().getNow();
        return page.map(p -> FakeServer.Reply.json(new String(p, StandardCharsets.UTF_8)))
                .orElseGet(() -> FakeServer.Reply.status(UNAVAILABLE));
    }
}
