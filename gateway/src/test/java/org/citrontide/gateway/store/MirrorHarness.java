package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.fakes.net.HoldingProxy;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.citrontide.platform.MetadataStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Base class of tests of a mirror that reads a fake store through a proxy, while upstreams send heartbeats. */
abstract class MirrorHarness {
    private static final long HEARTBEAT_MS = 200;
    private static final long AWAIT_SECONDS = 20;

    final UpstreamLists lists = new UpstreamLists();
    final EventLoop loop;
    FakePlatformStore store;
    HoldingProxy proxy;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Integer> sequences = new ConcurrentHashMap<>();
    private final Thread heartbeats = Thread.ofPlatform().daemon().unstarted(this::sendHeartbeats);

    MirrorHarness() {
        loop = loops.next();
    }

    @BeforeEach
    void start() throws IOException {
        store = new FakePlatformStore();
        proxy = new HoldingProxy(store.port());
    }

    @AfterEach
    void stop() throws IOException {
        heartbeats.interrupt();
        proxy.close();
        store.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Registers upstreams that send heartbeats. */
    void startUpstreams(String... ids) {
        for (String id : ids) {
            join(id);
        }
        heartbeats.start();
    }

    /** Starts the mirror behind the proxy, and waits until it knows the upstreams and the rate of their heartbeats. */
    void startMirror(List<InetSocketAddress> peers) {
        startMirror(proxy.port(), peers, lists);
        await("the upstreams are listed", () -> lists.latest().equals(sequences.keySet()));
        int known = lists.all().size();
        await("their heartbeats were read several times", () -> lists.all().size() >= known + 3);
    }

    StoreMirror startMirror(int storePort, List<InetSocketAddress> peers, StoreListener listener) {
        StoreMirror mirror = new StoreMirror(
                PlatformClient.forStore(loop),
                new InetSocketAddress("127.0.0.1", storePort),
                peers,
                Duration.ofSeconds(2),
                loop,
                new SplittableRandom(1),
                listener);
        loop.execute(mirror::start);
        return mirror;
    }

    /** Registers an upstream, which sends heartbeats from now on. */
    synchronized void join(String id) {
        sequences.put(id, 0);
        writeEntry(id);
    }

    /** Ends the heartbeats of an upstream. */
    synchronized void silence(String id) {
        sequences.remove(id);
    }

    /** Removes the entry of an upstream, which sends no more heartbeats. */
    synchronized void leave(String id) {
        silence(id);
        store.remove("servers/" + id);
    }

    static void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "timed out waiting until " + description);
            pause(5);
        }
    }

    static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHeartbeats() {
        while (!Thread.currentThread().isInterrupted()) {
            synchronized (this) {
                sequences.keySet().forEach(this::writeEntry);
            }
            pause(HEARTBEAT_MS);
        }
    }

    private void writeEntry(String id) {
        int sequence = sequences.merge(id, 1, Integer::sum);
        store.put(
                "servers/" + id,
                "{\"service\":\"svc\",\"address\":\"127.0.0.1:8080\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":4,"
                        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + "}");
    }

    /** Records the identities in each list of upstreams. Thread-safe. */
    static final class UpstreamLists implements StoreListener {
        private final List<Set<String>> lists = new CopyOnWriteArrayList<>();

        List<Set<String>> all() {
            return lists;
        }

        Set<String> latest() {
            return lists.isEmpty() ? Set.of() : lists.getLast();
        }

        @Override
        public void upstreamsUpdated(List<ListedUpstream> upstreams) {
            lists.add(Set.copyOf(upstreams.stream().map(ListedUpstream::id).toList()));
        }

        @Override
        public void configurationChanged(RoutingTable table) {
            // Only the upstreams matter.
        }

        @Override
        public void leaderKeyUpdated(boolean isHeld) {
            // Only the upstreams matter.
        }

        @Override
        public void gatewaysUpdated(List<String> vms) {
            // Only the upstreams matter.
        }

        @Override
        public void crashEvidenceUpdated(List<MetadataStore.Item> items) {
            // Only the upstreams matter.
        }

        @Override
        public void groupsUpdated(List<MetadataStore.Item> items) {
            // Only the upstreams matter.
        }

        @Override
        public void evacuationsUpdated(Set<String> zones) {
            // Only the upstreams matter.
        }
    }
}
