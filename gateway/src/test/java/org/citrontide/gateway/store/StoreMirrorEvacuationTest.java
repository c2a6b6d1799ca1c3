package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.fakes.http.FakeServer;
import org.citrontide.platform.MetadataStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which set of evacuated zones is in force while a store loses its history and becomes unavailable. */
final class StoreMirrorEvacuationTest {
    private static final int REVISION = 10;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final long AWAIT_SECONDS = 20;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RecordingListener listener = new RecordingListener();
    private final AtomicInteger ranges = new AtomicInteger();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // Guards against an older copy of a peer that ends an evacuation when a full read is due but the store is away.
    @Test
    void anOlderCopyOfAPeerDoesNotEndAnEvacuation() throws IOException {
        AtomicInteger peerReads = new AtomicInteger();
        try (FakeServer store = server(this::serveOnceAndDropTheHistory);
                FakeServer peer = server(call -> {
                    peerReads.incrementAndGet();
                    return page(List.of(), REVISION - 1);
                })) {
            start(store, peer);
            await("the evacuation is known", () -> !listener.evacuations.isEmpty());
            await("the copy was read", () -> peerReads.get() >= 3);
        }
        assertEquals(List.of(Set.of("z2")), List.copyOf(listener.evacuations));
    }

    // Guards against a newer copy of a peer that is ignored.
    @Test
    void aNewerCopyOfAPeerReplacesTheEvacuatedZones() throws IOException {
        try (FakeServer store = server(this::serveOnceAndDropTheHistory);
                FakeServer peer = server(call -> page(List.of("op/evacuate/z1", "op/evacuate/"), REVISION + 1))) {
            start(store, peer);
            await("the copy is in force", () -> listener.evacuations.contains(Set.of("z1")));
        }
        assertEquals(List.of(Set.of("z2"), Set.of("z1")), List.copyOf(listener.evacuations));
    }

    private FakeServer.Reply serveOnceAndDropTheHistory(FakeServer.Call call) {
        if (!call.target().equals("GET /-/kv-range")) {
            return FakeServer.Reply.status(GONE);
        }
        return ranges.getAndIncrement() == 0
                ? page(List.of("op/evacuate/z2"), REVISION)
                : FakeServer.Reply.status(UNAVAILABLE);
    }

    private void start(FakeServer store, FakeServer peer) {
        EventLoop loop = loops.next();
        StoreMirror mirror = new StoreMirror(
                PlatformClient.forStore(loop),
                new InetSocketAddress("127.0.0.1", store.port()),
                List.of(new InetSocketAddress("127.0.0.1", peer.port())),
                Duration.ofSeconds(2),
                loop,
                new SplittableRandom(1),
                listener);
        loop.execute(mirror::start);
    }

    private static FakeServer server(FakeServer.RequestHandler handler) throws IOException {
        return new FakeServer(new InetSocketAddress("127.0.0.1", 0), handler);
    }

    private static FakeServer.Reply page(List<String> keys, long revision) {
        List<MetadataStore.Item> items = keys.stream()
                .map(key -> new MetadataStore.Item(key, new byte[0], revision))
                .toList();
        return FakeServer.Reply.json(new String(MetadataStore.encodePage(items, revision), StandardCharsets.UTF_8));
    }

    private static void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "timed out waiting for " + description);
            Thread.onSpinWait();
        }
    }

    /** Records the sets of evacuated zones. */
    private static final class RecordingListener implements StoreListener {
        private final List<Set<String>> evacuations = new CopyOnWriteArrayList<>();

        @Override
        public void evacuationsUpdated(Set<String> zones) {
            evacuations.add(zones);
        }

        @Override
        public void configurationChanged(RoutingTable table) {
            // Only the evacuations matter.
        }

        @Override
        public void upstreamsUpdated(List<ListedUpstream> list) {
            // Only the evacuations matter.
        }

        @Override
        public void leaderKeyUpdated(boolean isHeld) {
            // Only the evacuations matter.
        }

        @Override
        public void gatewaysUpdated(List<String> vms) {
            // Only the evacuations matter.
        }

        @Override
        public void groupsUpdated(List<MetadataStore.Item> items) {
            // Only the evacuations matter.
        }

        @Override
        public void crashEvidenceUpdated(List<MetadataStore.Item> items) {
            // Only the evacuations matter.
        }
    }
}
