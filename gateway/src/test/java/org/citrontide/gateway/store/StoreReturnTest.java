package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.fakes.http.FakeServer;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.citrontide.fakes.platform.FakePlatformStore.Mode;
import org.citrontide.platform.MetadataStore;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what is passed on after the store has returned from an older copy of itself. */
final class StoreReturnTest extends MirrorHarness {
    private static final String ENTRY = "{\"service\":\"svc\",\"address\":\"127.0.0.1:8080\",\"zone\":\"z1\","
            + "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d}";

    private final Latest latest = new Latest();

    /** Guards against a version that no gateway sees, because its revision was given out before the store's return. */
    @Test
    void aVersionWrittenBelowTheRevisionOfTheWatchIsSeen() {
        write(1, "a");
        FakePlatformStore.Snapshot copy = store.takeSnapshot();
        write(2, "a", "b");
        startMirror(store.port(), List.of(), latest);
        await("the version before the return is known", () -> latest.version == 2);
        returnTo(copy, () -> write(3, "a"));
        await("the version after the return is known", () -> latest.version == 3);
    }

    /** Guards against entries, removals and evacuations that are written again and not seen. */
    @Test
    void everythingThatIsMirroredIsReadAnew() {
        write(1, "a", "b");
        store.put("op/evacuate/z1", "");
        store.put(GatewayRegistration.PREFIX + "vm1", "vm1");
        store.put(GroupStore.PREFIX + "svc", "x");
        store.put(CrashEvidenceStore.PREFIX + "upstream/a/vm1/1", "x");
        FakePlatformStore.Snapshot copy = store.takeSnapshot();
        write(2, "a", "b", "c");
        startMirror(store.port(), List.of(), latest);
        await("the state before the return is known", () -> latest.upstreams.equals(Set.of("a", "b", "c")));
        returnTo(copy, () -> {
            store.remove("servers/b");
            store.put("servers/d", entry("ready", 1));
            store.remove("op/evacuate/z1");
            store.put("op/evacuate/z2", "");
            store.remove(GatewayRegistration.PREFIX + "vm1");
            store.put(GatewayRegistration.PREFIX + "vm2", "vm2");
            store.remove(GroupStore.PREFIX + "svc");
            store.remove(CrashEvidenceStore.PREFIX + "upstream/a/vm1/1");
        });
        await("upstreams", () -> latest.upstreams.equals(Set.of("a", "d")));
        assertEquals(Set.of("z2"), latest.zones);
        assertEquals(List.of("vm2"), latest.gateways);
        assertEquals(0, latest.groups);
        assertEquals(0, latest.evidence);
    }

    /** Guards against two returns, the second of which looks like the state before the first one. */
    @Test
    void twoReturnsWithinSecondsAreBothSeen() {
        write(1, "a");
        FakePlatformStore.Snapshot copy = store.takeSnapshot();
        write(2, "a", "b");
        startMirror(store.port(), List.of(), latest);
        await("the first version is known", () -> latest.version == 2);
        returnTo(copy, () -> write(3, "a"));
        pause(300);
        returnTo(copy, () -> write(4, "a", "c"));
        await("the version after the second return is known", () -> latest.version == 4);
        await("its upstreams are known", () -> latest.upstreams.containsAll(Set.of("a", "c")));
    }

    /** Guards against peers' copies of the new era that a gateway refuses because its own revision is higher. */
    @Test
    void theCopyOfAPeerIsTakenFromTheNewerEra() throws Exception {
        write(1, "a");
        FakePlatformStore.Snapshot copy = store.takeSnapshot();
        write(2, "a", "b");
        StoreMirror peer = startMirror(store.port(), List.of(), new Latest());
        try (FakeServer pages = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> copyOf(peer))) {
            startMirror(proxy.port(), List.of(new InetSocketAddress("127.0.0.1", pages.port())), latest);
            await("the version before the return is known", () -> latest.version == 2);
            proxy.setHeld(true);
            proxy.silence();
            store.restore(copy);
            write(3, "a");
            assertTrue(store.revision() <= copy.revision() + 2);
            await("the version after the return is known", () -> latest.version == 3);
        }
    }

    /** Guards against a configuration that is replaced by an older one, which the copy of the store still holds. */
    @Test
    void anOlderConfigurationOfTheCopyIsNotPutInForce() {
        write(1, "a");
        FakePlatformStore.Snapshot copy = store.takeSnapshot();
        write(2, "a");
        startMirror(store.port(), List.of(), latest);
        await("the version before the return is known", () -> latest.version == 2);
        returnTo(copy, () -> store.put("servers/b", entry("ready", 1)));
        await("the new era was read", () -> latest.upstreams.contains("b"));
        assertEquals(2, latest.version);
    }

    /** Guards against a gateway that reads nothing more because a header field of the store can't be read. */
    @Test
    void anUnreadableEraIsIgnored() {
        store.setEraHeader(Optional.of("-3"));
        write(1, "a");
        startMirror(store.port(), List.of(), latest);
        await("the first version is known", () -> latest.version == 1);
        store.setEraHeader(Optional.of("99999999999999999999"));
        write(2, "a");
        await("the second version is known", () -> latest.version == 2);
    }

    /** Guards against a gateway that takes all later answers for outdated ones after an implausible era. */
    @Test
    void anImplausibleEraShutsNobodyOut() {
        store.setEraHeader(Optional.of("4000000000000"));
        write(1, "a");
        startMirror(store.port(), List.of(), latest);
        await("the first version is known", () -> latest.version == 1);
        store.setEraHeader(Optional.empty());
        write(2, "a");
        await("the second version is known", () -> latest.version == 2);
        write(3, "a");
        await("the third version is known", () -> latest.version == 3);
    }

    /** Returns the store to a copy after a short outage; all of the lost revisions are given out again meanwhile. */
    private void returnTo(FakePlatformStore.Snapshot copy, Runnable rewrites) {
        store.setMode(Mode.REFUSING);
        pause(800);
        long lost = store.revision();
        store.restore(copy);
        rewrites.run();
        for (int sequence = 10; store.revision() <= lost + 1; sequence++) {
            store.put("servers/a", entry("ready", sequence));
        }
        store.setMode(Mode.UP);
    }

    private void write(int version, String... upstreams) {
        store.put("op/config", "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"tenants\":[]}");
        for (String id : upstreams) {
            store.put("servers/" + id, entry("ready", version));
        }
    }

    private static String entry(String state, int sequence) {
        return ENTRY.formatted(state, sequence);
    }

    private FakeServer.Reply copyOf(StoreMirror peer) {
        Optional<byte[]> page = loop.submit(peer::page).syncUninterruptibly().getNow();
        return page.map(p -> FakeServer.Reply.json(new String(p, StandardCharsets.UTF_8)))
                .orElseGet(() -> FakeServer.Reply.status(503));
    }

    /** Records what was passed on last. Written on the event loop, read by the test. */
    private static final class Latest implements StoreListener {
        private volatile long version;
        private volatile Set<String> upstreams = Set.of();
        private volatile Set<String> zones = Set.of();
        private volatile List<String> gateways = List.of();
        private volatile int evidence;
        private volatile int groups;

        @Override
        public void configurationChanged(RoutingTable table) {
            version = table.version();
        }

        @Override
        public void upstreamsUpdated(List<ListedUpstream> list) {
            upstreams = list.stream().map(ListedUpstream::id).collect(Collectors.toSet());
        }

        @Override
        public void leaderKeyUpdated(boolean isHeld) {
            // Terms are not tested here.
        }

        @Override
        public void gatewaysUpdated(List<String> vms) {
            gateways = vms;
        }

        @Override
        public void crashEvidenceUpdated(List<MetadataStore.Item> items) {
            evidence = items.size();
        }

        @Override
        public void groupsUpdated(List<MetadataStore.Item> items) {
            groups = items.size();
        }

        @Override
        public void evacuationsUpdated(Set<String> all) {
            zones = all;
        }
    }
}
