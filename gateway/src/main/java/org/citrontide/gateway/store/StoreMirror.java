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
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.citrontide.core.gateway.MembershipView;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.platform.ConfigurationDecoder;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.EvacuationDecoder;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.MetadataStore.Change;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.platform.PlatformCall;
import org.citrontide.platform.UpstreamDecoder;
import org.citrontide.runtime.eventloop.GuardedTask;
import org.citrontide.runtime.log.EventLog;

/**
 * Mirrors the store: a single watch over all keys delivers the configuration and the list of upstreams.
 *
 * <p>Invariants: a version of the configuration is passed on only if it is higher than the previous one; an entry that
 * can't be decoded yields no upstream and doesn't affect the others; an unexpected failure of the listener ends neither
 * the handling of other changes nor the watch; a change that is made while the pages are read is seen by the watch that
 * follows; a watch whose response is too large is replaced by a read of all pages, each of which has a bounded size;
 * the copy of a peer replaces nothing that is newer. Not thread-safe: confined to the event loop.
 */
public final class StoreMirror {
    private static final EventLog LOG = EventLog.of(StoreMirror.class);
    private static final String ALL_KEYS = "";
    // A watch returns as soon as any key changes, and heartbeats change keys all the time: with a pause between the
    // calls, one response carries many changes. The rest of the limit is left for slow and repeated calls.
    private static final double WATCH_PAUSE_FRACTION = 0.375;
    // With a longer pause, a single failed call would pass for an outage of the store.
    private static final Duration MAX_WATCH_PAUSE = Duration.ofMillis(1200);
    private static final Duration WATCH_WAIT = Duration.ofMillis(1000);
    // Longer than the wait plus a slow response; a connection that is silent for this long is abandoned.
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1800);
    // During an outage, a call only probes whether the store is available again; a slow response takes a quarter of a
    // second.
    private static final Duration OUTAGE_CALL_TIMEOUT = Duration.ofMillis(700);
    // The backoff grows to at most this many times its initial value, so that a long outage costs few calls.
    private static final int MAX_BACKOFF_FACTOR = 5;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(150);
    private static final Duration MAX_JITTER = Duration.ofMillis(150);
    // The copy is useful to a peer only if it is newer than what a failing store could have returned.
    private static final Duration MAX_COPY_AGE = Duration.ofMillis(2500);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;

    private final PlatformClient client;
    private final InetSocketAddress store;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final StoreListener listener;
    private final MembershipView membership = new MembershipView();
    private final Set<String> loggedOnce = new HashSet<>();
    private final MirroredKeys keys = new MirroredKeys();
    private final EntryTimes entryTimes = new EntryTimes();
    private final Map<String, Item> copy = new TreeMap<>();
    private final List<InetSocketAddress> peers;
    private final Duration watchPause;
    private int consecutiveFailures;
    private Optional<Long> revision = Optional.empty();
    private boolean isFullReadDue;
    // Remains while a new full read is needed, so that the older copy of a peer replaces nothing.
    private long newestRevision;
    private long version;
    private boolean isStoreUnavailable;
    private long lastResponseNanos = System.nanoTime();

    /**
     * Creates a mirror that has not read anything.
     *
     * @param client client for the calls to the store and to peers
     * @param store address of the store
     * @param peers addresses of the gateways whose copies are read while the store is unavailable to this one
     * @param changeLimit time within which a change must be passed on
     * @param loop event loop that runs all calls and timers
     * @param random source of the jitter that spreads the retries of many processes
     * @param listener listener for changes
     */
    public StoreMirror(
            PlatformClient client,
            InetSocketAddress store,
            List<InetSocketAddress> peers,
            Duration changeLimit,
            EventLoop loop,
            RandomGenerator random,
            StoreListener listener) {
        this.client = client;
        this.store = store;
        this.peers = List.copyOf(peers);
        this.watchPause = watchPause(changeLimit);
        this.loop = loop;
        this.random = random;
        this.listener = listener;
    }

    /** Starts reading and watching the store. */
    public void start() {
        readOrWatch();
    }

    /**
     * Returns whether the list of upstreams has been read.
     *
     * @return true after a complete read, and false again while a new one is needed because the store has dropped the
     *     history from which the watch would continue
     */
    public boolean isLoaded() {
        return revision.isPresent();
    }

    /**
     * Returns this mirror's copy of the store, for a peer.
     *
     * @return the items in the encoding of the store's own response, or empty if the store has not responded recently
     */
    public Optional<byte[]> page() {
        boolean isFresh = !isStoreUnavailable && System.nanoTime() - lastResponseNanos < MAX_COPY_AGE.toNanos();
        return revision.filter(r -> isFresh).map(r -> MetadataStore.encodePage(copy.values(), r));
    }

    /** Returns the pause between two watches that leaves enough of the limit for changes. */
    static Duration watchPause(Duration changeLimit) {
        Duration pause = Duration.ofNanos((long) (WATCH_PAUSE_FRACTION * changeLimit.toNanos()));
        return pause.compareTo(MAX_WATCH_PAUSE) < 0 ? pause : MAX_WATCH_PAUSE;
    }

    private void readOrWatch() {
        if (revision.isEmpty() || isFullReadDue) {
            readAll(new FullRead(keys));
        } else {
            watch(revision.get());
        }
    }

    private void readAll(FullRead read) {
        callStore(MetadataStore.range(ALL_KEYS, read.lastKey()), body -> {
            MetadataStore.Page page = MetadataStore.decodePage(body);
            read.add(page);
            if (page.isTruncated() && !page.items().isEmpty()) {
                readAll(read);
                return;
            }
            isFullReadDue = false;
            handleFullRead(read);
            setRevision(read.revision());
            LOG.info("store-read")
                    .with("revision", read.revision())
                    .with("upstreams", membership.upstreams().size())
                    .write();
            schedule(watchPause);
        });
    }

    /** Reads all pages instead of a watch whose response exceeds what a process may hold at once. */
    private void handleWatchTooLarge(String reason) {
        LOG.warn("store-watch-too-large")
                .with("revision", revision.orElse(0L))
                .with("why", reason)
                .write();
        isFullReadDue = true;
        schedule(Duration.ZERO);
    }

    /**
     * Reads the copies of all peers: the store may be unavailable to this process but not to others, and some of the
     * peers may be unable to reach it as well.
     */
    private void readPeerCopies() {
        for (InetSocketAddress peer : peers) {
            client.call(peer, MetadataStore.range(ALL_KEYS, ""), PEER_TIMEOUT).whenComplete((response, failure) -> {
                if (failure != null || response.status() != OK) {
                    return;
                }
                try {
                    adoptPeerCopy(peer, MetadataStore.decodePage(response.body()));
                } catch (DecodeException e) {
                    LOG.warn("peer-unreadable")
                            .with("peer", peer)
                            .with("why", e.getMessage())
                            .write();
                }
            });
        }
    }

    private void adoptPeerCopy(InetSocketAddress peer, MetadataStore.Page page) {
        recordStoreServed("peer");
        if (page.revision() < newestRevision || page.revision() <= revision.orElse(0L)) {
            return;
        }
        LOG.info("store-read-from-peer")
                .with("peer", peer)
                .with("revision", page.revision())
                .with("own-revision", revision.orElse(0L))
                .write();
        FullRead read = new FullRead(keys);
        read.add(page);
        handleFullRead(read);
        setRevision(page.revision());
    }

    private void handleFullRead(FullRead read) {
        copy.clear();
        read.items().forEach(i -> copy.put(i.key(), i));
        entryTimes.retain(copy.keySet());
        List<ListedUpstream> upstreams = new ArrayList<>();
        for (Item i : read.items()) {
            if (i.key().equals(ConfigurationDecoder.KEY)) {
                handleConfiguration(i);
            }
            if (i.key().startsWith(UpstreamDecoder.KEY_PREFIX)) {
                decode(i).ifPresent(upstreams::add);
            }
        }
        membership.replaceAll(upstreams, System.nanoTime()).forEach(StoreMirror::logRemoved);
        expireEntries();
        notifyListener("evacuations", () -> listener.evacuationsUpdated(evacuatedZones()));
        notifyListener("gateways", () -> listener.gatewaysUpdated(gateways()));
        notifyListener("crash-evidence", () -> listener.crashEvidenceUpdated(copies(CrashEvidenceStore.PREFIX)));
        notifyListener("groups", () -> listener.groupsUpdated(copies(GroupStore.PREFIX)));
        notifyListener("leader-key", () -> listener.leaderKeyUpdated(read.isLeaderKeyHeld()));
        notifyListener("upstreams", () -> listener.upstreamsUpdated(membership.upstreams()));
    }

    private void watch(long after) {
        callStore(
                MetadataStore.watch(ALL_KEYS, after, isStoreUnavailable ? Duration.ZERO : WATCH_WAIT),
                body -> {
                    MetadataStore.Changes changes = MetadataStore.decodeChanges(body);
                    changes.changes().stream().filter(this::isNews).forEach(this::handleChange);
                    if (hasChange(changes, EvacuationDecoder.KEY_PREFIX)) {
                        notifyListener("evacuations", () -> listener.evacuationsUpdated(evacuatedZones()));
                    }
                    if (hasChange(changes, CrashEvidenceStore.PREFIX)) {
                        notifyListener(
                                "crash-evidence",
                                () -> listener.crashEvidenceUpdated(copies(CrashEvidenceStore.PREFIX)));
                    }
                    if (hasChange(changes, GroupStore.PREFIX)) {
                        notifyListener("groups", () -> listener.groupsUpdated(copies(GroupStore.PREFIX)));
                    }
                    boolean hasExpired = expireEntries();
                    if (hasExpired || !changes.changes().isEmpty()) {
                        notifyListener("upstreams", () -> listener.upstreamsUpdated(membership.upstreams()));
                    }
                    setRevision(Math.max(revision.orElse(after), changes.revision()));
                    schedule(watchPause);
                },
                this::handleWatchTooLarge);
    }

    /** Returns whether a change is newer than what a full read has already shown of its key. */
    private boolean isNews(Change c) {
        Item known = copy.get(c.key());
        return known == null || known.revision() < c.revision();
    }

    private void setRevision(long newRevision) {
        revision = Optional.of(newRevision);
        newestRevision = newRevision;
    }

    private Set<String> evacuatedZones() {
        return copy.keySet().stream()
                .flatMap(key -> EvacuationDecoder.zone(key).stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    private void handleChange(Change c) {
        Optional<Item> item = c.item().flatMap(keys::select);
        item.ifPresentOrElse(i -> copy.put(c.key(), i), () -> copy.remove(c.key()));
        if (c.key().equals(ConfigurationDecoder.KEY)) {
            item.ifPresent(this::handleConfiguration);
        }
        if (c.key().startsWith(GatewayRegistration.PREFIX)) {
            notifyListener("gateways", () -> listener.gatewaysUpdated(gateways()));
        }
        if (c.key().equals(LeaderElection.LEADER_KEY)) {
            notifyListener(
                    "leader-key", () -> listener.leaderKeyUpdated(c.item().isPresent()));
        }
        if (!c.key().startsWith(UpstreamDecoder.KEY_PREFIX)) {
            return;
        }
        String id = c.key().substring(UpstreamDecoder.KEY_PREFIX.length());
        Optional<ListedUpstream> upstream = item.flatMap(this::decode);
        if (upstream.isPresent()) {
            logDraining(upstream.get());
            membership.putEntry(upstream.get());
            return;
        }
        logRemoved(id, membership.removeEntry(id, System.nanoTime()));
    }

    private static void logRemoved(String id, boolean isKept) {
        LOG.info("upstream-removed").with("upstream", id).with("kept", isKept).write();
    }

    /** Drops the entries that were kept, once their time has passed; returns whether there were any. */
    private boolean expireEntries() {
        Set<String> dropped = membership.expire(System.nanoTime());
        dropped.forEach(id -> LOG.info("upstream-expired").with("upstream", id).write());
        return !dropped.isEmpty();
    }

    private void recordStoreServed(String by) {
        membership
                .recordStoreServed(System.nanoTime())
                .ifPresent(unserved -> LOG.info("removed-entries-kept")
                        .with("unserved-ms", unserved.toMillis())
                        .with("served", by)
                        .write());
    }

    private List<String> gateways() {
        return copy.keySet().stream()
                .filter(k -> k.startsWith(GatewayRegistration.PREFIX))
                .map(k -> k.substring(GatewayRegistration.PREFIX.length()))
                .toList();
    }

    private List<Item> copies(String prefix) {
        return copy.values().stream().filter(i -> i.key().startsWith(prefix)).toList();
    }

    private static boolean hasChange(MetadataStore.Changes changes, String prefix) {
        return changes.changes().stream().anyMatch(c -> c.key().startsWith(prefix));
    }

    private void logDraining(ListedUpstream u) {
        if (u.isDraining() && loggedOnce.add("draining " + u.id())) {
            LOG.info("upstream-draining").with("upstream", u.id()).write();
        }
    }

    private Optional<ListedUpstream> decode(Item i) {
        try {
            return Optional.of(
                    UpstreamDecoder.decode(i.key(), i.value(), entryTimes.receivedNanos(i, System.nanoTime())));
        } catch (DecodeException e) {
            if (loggedOnce.add(i.key())) {
                LOG.warn("upstream-entry-unusable")
                        .with("key", i.key())
                        .with("why", e.getMessage())
                        .write();
            }
            return Optional.empty();
        }
    }

    private void handleConfiguration(Item i) {
        try {
            RoutingTable table = ConfigurationDecoder.decode(i.value());
            if (table.version() > version) {
                version = table.version();
                LOG.info("configuration-in-force")
                        .with("version", version)
                        .with("revision", i.revision())
                        .with("age-ms", millisSinceLastResponse())
                        .write();
                notifyListener("configuration", () -> listener.configurationChanged(table));
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

    private static void notifyListener(String subject, Runnable notification) {
        new GuardedTask("notify-" + subject, notification).run();
    }

    private long millisSinceLastResponse() {
        return Duration.ofNanos(System.nanoTime() - lastResponseNanos).toMillis();
    }

    private void callStore(PlatformCall call, ResponseHandler handler) {
        callStore(call, handler, this::handleUnavailable);
    }

    private void callStore(PlatformCall call, ResponseHandler handler, Consumer<String> tooLargeHandler) {
        client.call(store, call, isStoreUnavailable ? OUTAGE_CALL_TIMEOUT : CALL_TIMEOUT)
                .whenComplete((response, failure) -> {
                    if (failure instanceof ResponseTooLargeException) {
                        tooLargeHandler.accept(failure.getMessage());
                        return;
                    }
                    if (failure != null) {
                        handleUnavailable(failure.getMessage());
                        return;
                    }
                    if (response.status() == MetadataStore.STATUS_COMPACTED) {
                        LOG.info("store-history-gone")
                                .with("revision", revision.orElse(0L))
                                .write();
                        revision = Optional.empty();
                        schedule(Duration.ZERO);
                        return;
                    }
                    if (response.status() != OK) {
                        handleUnavailable("status " + response.status());
                        return;
                    }
                    try {
                        handleAvailable();
                        handler.handle(response.body());
                    } catch (DecodeException e) {
                        handleUnavailable(e.getMessage());
                    } catch (RuntimeException | StackOverflowError e) {
                        LOG.error("store-response-unhandled", e).write();
                        handleUnavailable("unexpected failure");
                    }
                });
    }

    private void handleUnavailable(String reason) {
        consecutiveFailures++;
        membership.recordStoreFailure();
        if (!isStoreUnavailable) {
            isStoreUnavailable = true;
            LOG.warn("store-lost").with("why", reason).write();
        }
        readPeerCopies();
        Duration delay = INITIAL_BACKOFF.multipliedBy(Math.min(consecutiveFailures, MAX_BACKOFF_FACTOR));
        schedule(delay.plus(Duration.ofNanos(random.nextLong(MAX_JITTER.toNanos()))));
    }

    private void handleAvailable() {
        consecutiveFailures = 0;
        recordStoreServed("self");
        if (isStoreUnavailable) {
            isStoreUnavailable = false;
            LOG.info("store-recovered")
                    .with("after-ms", millisSinceLastResponse())
                    .write();
        }
        lastResponseNanos = System.nanoTime();
    }

    private void schedule(Duration delay) {
        loop.schedule(this::readOrWatch, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Handles the body of a successful response. */
    @FunctionalInterface
    private interface ResponseHandler {
        void handle(byte[] body) throws DecodeException;
    }
}
