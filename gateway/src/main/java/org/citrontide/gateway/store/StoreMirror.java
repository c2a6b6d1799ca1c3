package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.citrontide.core.gateway.MembershipView;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.platform.ConfigurationDecoder;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.MetadataStore.Change;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.platform.PlatformCall;
import org.citrontide.platform.UpstreamDecoder;
import org.citrontide.runtime.log.EventLog;

/**
 * Follows the store: one watch over all its keys brings the configuration and the list of upstreams.
 *
 * <p>Invariants: a version of the configuration is handed on only if it is higher than the last one; an entry that
 * can't be decoded names no upstream and leaves the others as they are. Not thread-safe: owned by the event loop.
 */
public final class StoreMirror {
    private static final EventLog LOG = EventLog.of(StoreMirror.class);
    private static final String ALL_KEYS = "";
    // The store answers at once when anything changed, and heartbeats always did: one call a pause carries all of them.
    private static final Duration PAUSE = Duration.ofMillis(750);
    private static final Duration WAIT = Duration.ofMillis(1000);
    // Longer than the wait and a slow answer; a silent connection is given up by then.
    private static final Duration TIMEOUT = Duration.ofMillis(1800);
    // While the store is missed, a call only finds out whether it is back; a slow answer takes a quarter of a second.
    private static final Duration AWAY_TIMEOUT = Duration.ofMillis(700);
    // The pause grows to this many times the first one, so that a long outage costs few calls.
    private static final int MOST_PAUSES = 5;
    private static final Duration RETRY = Duration.ofMillis(150);
    private static final Duration RETRY_SPREAD = Duration.ofMillis(150);
    // A peer's copy is of use if it is newer than what a store that fails could have told.
    private static final Duration FRESH = Duration.ofMillis(2500);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;

    /** Hears of what changed. */
    public interface Listener {

        /**
         * A higher version of the configuration was read.
         *
         * @param table the configuration
         */
        void configured(RoutingTable table);

        /**
         * The list of upstreams changed.
         *
         * @param upstreams all that may be used
         */
        void listed(List<ListedUpstream> upstreams);

        /**
         * The key under which one process leads was written or removed.
         *
         * @param isHeld whether it is there
         */
        void leaderKey(boolean isHeld);

        /**
         * The number of gateways changed.
         *
         * @param count gateways that are registered
         */
        void gateways(int count);
    }

    private final HttpCaller caller;
    private final InetSocketAddress store;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final Listener listener;
    private final MembershipView members = new MembershipView();
    private final Set<String> reported = new HashSet<>();
    private final Map<String, Item> copy = new TreeMap<>();
    private final List<InetSocketAddress> peers;
    private int failures;
    private Optional<Long> revision = Optional.empty();
    private long version;
    private boolean isAway;
    private long answeredNanos = System.nanoTime();

    /**
     * Makes a mirror.
     *
     * @param caller sends the calls
     * @param store address of the store
     * @param peers addresses of gateways that are asked for their copy while the store turns this one away
     * @param loop event loop
     * @param random spreads the retries of many processes
     * @param listener hears of changes
     */
    public StoreMirror(
            HttpCaller caller,
            InetSocketAddress store,
            List<InetSocketAddress> peers,
            EventLoop loop,
            RandomGenerator random,
            Listener listener) {
        this.caller = caller;
        this.store = store;
        this.peers = List.copyOf(peers);
        this.loop = loop;
        this.random = random;
        this.listener = listener;
    }

    /** Begins to follow the store. */
    public void start() {
        next();
    }

    /**
     * Says whether the list of upstreams was read.
     *
     * @return true after the first whole read
     */
    public boolean isLoaded() {
        return revision.isPresent();
    }

    /**
     * Returns what this mirror read of the store, for a peer.
     *
     * @return the items as an answer of the store, or empty if the store did not answer lately
     */
    public Optional<byte[]> page() {
        boolean isFresh = !isAway && System.nanoTime() - answeredNanos < FRESH.toNanos();
        return revision.filter(r -> isFresh).map(r -> MetadataStore.encodePage(copy.values(), r));
    }

    private void next() {
        if (revision.isEmpty()) {
            readAll("", new ArrayList<>());
        } else {
            watch(revision.get());
        }
    }

    private void readAll(String after, List<Item> items) {
        call(MetadataStore.range(ALL_KEYS, after), body -> {
            MetadataStore.Page page = MetadataStore.decodePage(body);
            items.addAll(page.items());
            if (page.isTruncated() && !page.items().isEmpty()) {
                readAll(page.items().getLast().key(), items);
                return;
            }
            loaded(items);
            revision = Optional.of(page.revision());
            LOG.info("store-read")
                    .with("revision", page.revision())
                    .with("upstreams", members.upstreams().size())
                    .write();
            later(PAUSE);
        });
    }

    /** Asks all peers: the store may turn away this process and serve others, and some peers may be away as well. */
    private void askPeers() {
        for (InetSocketAddress peer : peers) {
            caller.call(peer, MetadataStore.range(ALL_KEYS, ""), PEER_TIMEOUT).whenComplete((reply, failure) -> {
                if (failure != null || reply.status() != OK) {
                    return;
                }
                try {
                    takeFromPeer(peer, MetadataStore.decodePage(reply.body()));
                } catch (DecodeException e) {
                    LOG.warn("peer-unreadable")
                            .with("peer", peer)
                            .with("why", e.getMessage())
                            .write();
                }
            });
        }
    }

    private void takeFromPeer(InetSocketAddress peer, MetadataStore.Page page) {
        if (page.revision() <= revision.orElse(0L)) {
            return;
        }
        LOG.info("store-read-from-peer")
                .with("peer", peer)
                .with("revision", page.revision())
                .with("own-revision", revision.orElse(0L))
                .write();
        // The peer reads a store that works: what is missing there is gone.
        members.storeAvailable(System.nanoTime());
        loaded(page.items());
        revision = Optional.of(page.revision());
    }

    private void loaded(List<Item> items) {
        copy.clear();
        items.forEach(this::keep);
        List<ListedUpstream> upstreams = new ArrayList<>();
        for (Item i : items) {
            if (i.key().equals(ConfigurationDecoder.KEY)) {
                configured(i);
            }
            if (i.key().startsWith(UpstreamDecoder.KEY_PREFIX)) {
                decode(i).ifPresent(upstreams::add);
            }
        }
        listener.gateways(countGateways());
        listener.leaderKey(items.stream().anyMatch(i -> i.key().equals(Leadership.KEY)));
        members.replaceAll(upstreams, System.nanoTime());
        listener.listed(members.upstreams());
    }

    private void watch(long after) {
        call(MetadataStore.watch(ALL_KEYS, after, isAway ? Duration.ZERO : WAIT), body -> {
            MetadataStore.Changes changes = MetadataStore.decodeChanges(body);
            changes.changes().forEach(this::changed);
            members.expire(System.nanoTime());
            if (!changes.changes().isEmpty()) {
                listener.listed(members.upstreams());
            }
            revision = Optional.of(Math.max(after, changes.revision()));
            later(PAUSE);
        });
    }

    private void keep(Item i) {
        if (i.key().equals(ConfigurationDecoder.KEY)
                || i.key().startsWith(UpstreamDecoder.KEY_PREFIX)
                || i.key().startsWith(GatewayRegister.PREFIX)) {
            copy.put(i.key(), i);
        }
    }

    private void changed(Change c) {
        c.item().ifPresentOrElse(this::keep, () -> copy.remove(c.key()));
        if (c.key().equals(ConfigurationDecoder.KEY)) {
            c.item().ifPresent(this::configured);
        }
        if (c.key().startsWith(GatewayRegister.PREFIX)) {
            listener.gateways(countGateways());
        }
        if (c.key().equals(Leadership.KEY)) {
            listener.leaderKey(c.item().isPresent());
        }
        if (!c.key().startsWith(UpstreamDecoder.KEY_PREFIX)) {
            return;
        }
        String id = c.key().substring(UpstreamDecoder.KEY_PREFIX.length());
        Optional<ListedUpstream> upstream = c.item().flatMap(this::decode);
        if (upstream.isPresent()) {
            noteDraining(upstream.get());
            members.entryWritten(upstream.get());
            return;
        }
        LOG.info("upstream-removed").with("upstream", id).write();
        members.entryRemoved(id, System.nanoTime());
    }

    private int countGateways() {
        return (int) copy.keySet().stream()
                .filter(k -> k.startsWith(GatewayRegister.PREFIX))
                .count();
    }

    private void noteDraining(ListedUpstream u) {
        if (u.draining() && reported.add("draining " + u.id())) {
            LOG.info("upstream-draining").with("upstream", u.id()).write();
        }
    }

    private Optional<ListedUpstream> decode(Item i) {
        try {
            return Optional.of(UpstreamDecoder.decode(i.key(), i.value()));
        } catch (DecodeException e) {
            if (reported.add(i.key())) {
                LOG.warn("upstream-entry-unusable")
                        .with("key", i.key())
                        .with("why", e.getMessage())
                        .write();
            }
            return Optional.empty();
        }
    }

    private void configured(Item i) {
        try {
            RoutingTable table = ConfigurationDecoder.decode(i.value());
            if (table.version() > version) {
                version = table.version();
                LOG.info("configuration-in-force")
                        .with("version", version)
                        .with("revision", i.revision())
                        .with("age-ms", ageMillis())
                        .write();
                listener.configured(table);
            }
        } catch (DecodeException e) {
            LOG.warn("configuration-unusable")
                    .with("revision", i.revision())
                    .with("kept-version", version)
                    .with("why", e.getMessage())
                    .with("bytes", new String(i.value(), StandardCharsets.UTF_8).length())
                    .write();
        }
    }

    private long ageMillis() {
        return Duration.ofNanos(System.nanoTime() - answeredNanos).toMillis();
    }

    private void call(PlatformCall call, AnswerReader reader) {
        caller.call(store, call, isAway ? AWAY_TIMEOUT : TIMEOUT).whenComplete((reply, failure) -> {
            if (failure != null) {
                away(failure.getMessage());
                return;
            }
            if (reply.status() == MetadataStore.STATUS_COMPACTED) {
                LOG.info("store-history-gone")
                        .with("revision", revision.orElse(0L))
                        .write();
                revision = Optional.empty();
                later(Duration.ZERO);
                return;
            }
            if (reply.status() != OK) {
                away("status " + reply.status());
                return;
            }
            try {
                back();
                reader.read(reply.body());
            } catch (DecodeException e) {
                away(e.getMessage());
            }
        });
    }

    private void away(String why) {
        failures++;
        members.storeUnavailable();
        if (!isAway) {
            isAway = true;
            LOG.warn("store-lost").with("why", why).write();
        }
        askPeers();
        Duration pause = RETRY.multipliedBy(Math.min(failures, MOST_PAUSES));
        later(pause.plus(Duration.ofNanos(random.nextLong(RETRY_SPREAD.toNanos()))));
    }

    private void back() {
        failures = 0;
        members.storeAvailable(System.nanoTime());
        if (isAway) {
            isAway = false;
            LOG.info("store-regained").with("after-ms", ageMillis()).write();
        }
        answeredNanos = System.nanoTime();
    }

    private void later(Duration pause) {
        loop.schedule(this::next, pause.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Reads the body of a successful answer. */
    @FunctionalInterface
    private interface AnswerReader {
        void read(byte[] body) throws DecodeException;
    }
}
