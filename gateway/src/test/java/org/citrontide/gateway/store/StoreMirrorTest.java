package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.citrontide.platform.MetadataStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs a mirror of a fake store whose listener fails unexpectedly. */
final class StoreMirrorTest {
    private static final String ENTRY = "{\"service\":\"svc\",\"address\":\"127.0.0.1:8080\",\"zone\":\"z1\","
            + "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
    private static final long AWAIT_SECONDS = 20;
    private static final int MAX_PAGE_BYTES = 20_000;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private FakePlatformStore store;

    @BeforeEach
    void start() throws IOException {
        store = new FakePlatformStore();
    }

    @AfterEach
    void stop() throws IOException {
        store.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void isFollowedFurtherAfterTheListenerFailed() {
        FailingListener listener = new FailingListener();
        store.put("servers/a", ENTRY);
        store.put("op/config", configuration(1));
        startMirror(listener);
        await("the first upstream is known", () -> listener.upstreams.contains("a"));
        for (int version = 2; version <= 4; version++) {
            String id = "u" + version;
            store.put("servers/" + id, ENTRY);
            store.put("op/config", configuration(version));
            int expected = version;
            await("version " + version, () -> listener.versions.contains((long) expected));
            await("upstream " + id, () -> listener.upstreams.contains(id));
        }
    }

    /** Guards against a change that no read shows: made after its page was read and before the last page was. */
    @Test
    void seesAChangeThatIsMadeBetweenTwoPages() {
        FailingListener listener = new FailingListener();
        store.put("op/config", configuration(1));
        for (int i = 0; i < 6; i++) {
            store.put("servers/u" + i, ENTRY);
        }
        AtomicInteger pages = new AtomicInteger();
        store.setPages(2, () -> {
            int page = pages.incrementAndGet();
            store.put("op/config", configuration(1 + page));
            store.remove("servers/u0");
        });
        startMirror(listener);
        await("the upstreams of the last page are known", () -> listener.upstreams.contains("u5"));
        await("the version written between the last two pages", () -> listener.versions.contains(1L + pages.get()));
        await("the removed upstream is gone", () -> !listener.latest.contains("u0"));
    }

    /** Guards against a watch that exceeds the limit of the client, and is repeated from the same revision for ever. */
    @Test
    void goesOnAfterEntriesThatMakeAWatchTooLarge() {
        FailingListener listener = new FailingListener();
        store.put("op/config", configuration(1));
        store.put("servers/a", ENTRY);
        startMirror(listener);
        await("the first upstream is known", () -> listener.latest.contains("a"));
        String junk = "x".repeat(1_000_000);
        store.setPages(1, () -> {});
        for (int i = 0; i < 8; i++) {
            store.put("servers/junk" + i, junk);
        }
        store.remove("servers/a");
        store.put("servers/b", ENTRY);
        store.put("op/config", configuration(2));
        await("the new upstream is known", () -> listener.latest.contains("b"));
        await("the removed upstream is gone", () -> !listener.latest.contains("a"));
        await("the new version is known", () -> listener.versions.contains(2L));
    }

    /** Guards against entries of another writer that take the memory of this gateway and of its peers. */
    @Test
    void holdsNoEntryThatNamesNoUpstream() {
        FailingListener listener = new FailingListener();
        store.put("op/config", configuration(1));
        store.setPages(4, () -> {});
        putUnusableEntries("first");
        store.put("servers/a", ENTRY);
        StoreMirror mirror = startMirror(listener);
        await("the first upstream is known", () -> listener.latest.contains("a"));
        assertTrue(pageLength(mirror) < MAX_PAGE_BYTES, "after a read of all pages");
        putUnusableEntries("second");
        store.put("servers/b", ENTRY);
        await("the second upstream is known", () -> listener.latest.contains("b"));
        assertTrue(pageLength(mirror) < MAX_PAGE_BYTES, "after a watch");
        store.put("servers/first0", ENTRY);
        await("an entry that can be used again is known", () -> listener.latest.contains("first0"));
    }

    private void putUnusableEntries(String name) {
        for (int i = 0; i < 10; i++) {
            store.put("servers/" + name + i, "x".repeat(10_000));
            store.put(
                    "servers/large" + name + i,
                    ENTRY.replace("\"v1\"", "\"v1\",\"other\":\"" + "x".repeat(200_000) + '"'));
        }
    }

    private int pageLength(StoreMirror mirror) {
        return loops.next().submit(mirror::page).syncUninterruptibly().getNow().orElseThrow().length;
    }

    @Test
    void pauseBetweenWatchesLeavesMostOfTheLimitAndIsNoOutage() {
        assertEquals(Duration.ofMillis(750), StoreMirror.watchPause(Duration.ofSeconds(2)));
        assertEquals(Duration.ofMillis(1125), StoreMirror.watchPause(Duration.ofSeconds(3)));
        assertEquals(Duration.ofMillis(1200), StoreMirror.watchPause(Duration.ofSeconds(4)));
    }

    private StoreMirror startMirror(StoreListener listener) {
        EventLoop loop = loops.next();
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", store.port());
        StoreMirror mirror = new StoreMirror(
                PlatformClient.forStore(loop),
                address,
                List.of(),
                Duration.ofSeconds(2),
                loop,
                new SplittableRandom(1),
                listener);
        loop.execute(mirror::start);
        return mirror;
    }

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"tenants\":[]}";
    }

    private static void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "timed out waiting for " + description);
            Thread.onSpinWait();
        }
    }

    /** Records the changes, and throws after every one of them. */
    private static final class FailingListener implements StoreListener {
        private final Set<String> upstreams = ConcurrentHashMap.newKeySet();
        private final List<Long> versions = new CopyOnWriteArrayList<>();
        private volatile List<String> latest = List.of();

        @Override
        public void configurationChanged(RoutingTable table) {
            versions.add(table.version());
            throw new IllegalStateException("configuration");
        }

        @Override
        public void upstreamsUpdated(List<ListedUpstream> list) {
            latest = list.stream().map(ListedUpstream::id).toList();
            upstreams.addAll(latest);
            throw new IllegalStateException("upstreams");
        }

        @Override
        public void leaderKeyUpdated(boolean isHeld) {
            throw new IllegalStateException("leader key");
        }

        @Override
        public void gatewaysUpdated(List<String> vms) {
            throw new IllegalStateException("gateways");
        }

        @Override
        public void groupsUpdated(List<MetadataStore.Item> items) {
            throw new IllegalStateException("groups");
        }

        @Override
        public void evacuationsUpdated(Set<String> zones) {
            throw new IllegalStateException("evacuations");
        }

        @Override
        public void crashEvidenceUpdated(List<MetadataStore.Item> items) {
            throw new IllegalStateException("crash evidence");
        }
    }
}
