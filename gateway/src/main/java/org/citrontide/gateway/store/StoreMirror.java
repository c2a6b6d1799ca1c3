package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.citrontide.core.gateway.MembershipView;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.platform.ConfigurationDecoder;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.EvacuationDecoder;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.MetadataStore.Change;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.runtime.eventloop.GuardedTask;
import org.citrontide.runtime.log.EventLog;

/**
 * Mirrors the store: a single watch over all keys delivers the configuration and the list of upstreams.
 *
 * <p>Invariants: a version of the configuration is passed on only if it is higher than the previous one; an entry that
 * can't be decoded yields no upstream, doesn't affect the others and is not held; an unexpected failure of the
 * listener ends neither the handling of other changes nor the watch; a change that is made while the pages are read is
 * seen by the watch that follows; a watch whose response is too large is replaced by a read of all pages, each of
 * which has a bounded size; the copy of a peer replaces nothing that is newer, and counts as service at the time it
 * was read; after the store has returned from an older copy of itself, all keys are read anew, and no revision is
 * compared with one from before. Not thread-safe: confined to the event loop.
 */
public final class StoreMirror implements StoreReader.Listener {
    private static final EventLog LOG = EventLog.of(StoreMirror.class);
    private static final String ALL_KEYS = "";
    // A watch returns as soon as any key changes, and heartbeats change keys all the time: with a pause between the
    // calls, one response carries many changes. The rest of the limit is left for slow and repeated calls.
    private static final double WATCH_PAUSE_FRACTION = 0.375;
    // Bounds the time until a connection that fell silent is noticed.
    private static final Duration MAX_WATCH_PAUSE = Duration.ofMillis(1200);
    private static final Duration WATCH_WAIT = Duration.ofMillis(1000);
    // The copy is useful to a peer only if it is newer than what a failing store could have returned.
    private static final Duration MAX_COPY_AGE = Duration.ofMillis(2500);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;

    private final PlatformClient client;
    private final StoreReader reader;
    private final EventLoop loop;
    private final StoreListener listener;
    private final UpstreamEntries entries = new UpstreamEntries();
    private final MirroredKeys keys = new MirroredKeys();
    private final Map<String, Item> copy = new TreeMap<>();
    private final List<InetSocketAddress> peers;
    private final Duration watchPause;
    private Optional<StorePosition> position = Optional.empty();
    private boolean isFullReadDue;
    private OptionalLong graceEndNanos = OptionalLong.empty();
    // Remains while a new full read is needed, so that the older copy of a peer replaces nothing.
    private StorePosition newestPosition = new StorePosition(0, 0);
    private long version;

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
        this.reader = new StoreReader(client, store, random, this);
        this.peers = List.copyOf(peers);
        this.watchPause = watchPause(changeLimit);
        this.loop = loop;
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
        return position.isPresent();
    }

    /**
     * Returns this mirror's copy of the store, for a peer.
     *
     * @return the items in the encoding of the store's own response, or empty if the store has not responded recently
     */
    public Optional<byte[]> page() {
        Duration age = reader.sinceLastResponse();
        boolean isFresh = reader.isAvailable() && age.compareTo(MAX_COPY_AGE) < 0;
        return position.filter(p -> isFresh)
                .map(p -> MetadataStore.encodeCopy(copy.values(), p.revision(), p.era(), age));
    }

    /** Returns the pause between two watches that leaves enough of the limit for changes. */
    static Duration watchPause(Duration changeLimit) {
        Duration pause = Duration.ofNanos((long) (WATCH_PAUSE_FRACTION * changeLimit.toNanos()));
        return pause.compareTo(MAX_WATCH_PAUSE) < 0 ? pause : MAX_WATCH_PAUSE;
    }

    private void readOrWatch() {
        if (position.isEmpty() || isFullReadDue) {
            readAll(new FullRead(keys, entries::isUsable));
        } else {
            watch(position.get().revision());
        }
    }

    private void readAll(FullRead read) {
        reader.read(MetadataStore.range(ALL_KEYS, read.lastKey()), body -> {
            MetadataStore.Page page = MetadataStore.decodePage(body);
            read.add(page);
            if (page.isTruncated() && !page.items().isEmpty()) {
                readAll(read);
                return;
            }
            isFullReadDue = false;
            handleFullRead(read, "self", System.nanoTime());
            setPosition(new StorePosition(reader.era(), read.revision()));
            LOG.info("store-read")
                    .with("revision", read.revision())
                    .with("upstreams", entries.list().size())
                    .write();
            scheduleNextRead();
        });
    }

    /** Reads all pages instead of a watch whose response exceeds what a process may hold at once. */
    private void handleWatchTooLarge(String reason) {
        LOG.warn("store-watch-too-large")
                .with("revision", knownRevision())
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
        StorePosition read = new StorePosition(page.era(), page.revision());
        if (read.isBefore(newestPosition)) {
            return;
        }
        Duration age = page.age().filter(a -> !a.isNegative()).orElse(MAX_COPY_AGE);
        long servedNanos = System.nanoTime() - age.toNanos();
        if (position.filter(read::equals).isPresent()) {
            handleUnchanged(servedNanos);
            return;
        }
        LOG.info("store-read-from-peer")
                .with("peer", peer)
                .with("age-ms", age.toMillis())
                .with("revision", page.revision())
                .with("era", page.era())
                .with("own-revision", knownRevision())
                .write();
        if (page.era() > reader.era()) {
            reader.setEra(page.era());
            setGracePeriod(entries.recordStoreReturn(servedNanos));
        }
        FullRead pages = new FullRead(keys, entries::isUsable);
        pages.add(page);
        handleFullRead(pages, "peer", servedNanos);
        setPosition(read);
    }

    /** Handles the copy of a peer that shows no change, but that the store still serves the peer. */
    private void handleUnchanged(long servedNanos) {
        entries.apply(List.of(), "peer", servedNanos).ifPresent(this::setGracePeriod);
        if (expireEntries(servedNanos)) {
            notifyListener("upstreams", () -> listener.upstreamsUpdated(entries.list()));
        }
    }

    private void handleFullRead(FullRead read, String servedBy, long servedNanos) {
        copy.clear();
        read.items().forEach(i -> copy.put(i.key(), i));
        Optional.ofNullable(copy.get(ConfigurationDecoder.KEY)).ifPresent(this::handleConfiguration);
        entries.replaceAll(read.items(), servedBy, servedNanos).ifPresent(this::setGracePeriod);
        expireEntries(servedNanos);
        notifyListener("evacuations", () -> listener.evacuationsUpdated(evacuatedZones()));
        notifyListener("gateways", () -> listener.gatewaysUpdated(gateways()));
        notifyListener("crash-evidence", () -> listener.crashEvidenceUpdated(copies(CrashEvidenceStore.PREFIX)));
        notifyListener("groups", () -> listener.groupsUpdated(copies(GroupStore.PREFIX)));
        notifyListener("leader-key", () -> listener.leaderKeyUpdated(read.isLeaderKeyHeld()));
        notifyListener("upstreams", () -> listener.upstreamsUpdated(entries.list()));
    }

    private void watch(long after) {
        reader.read(
                MetadataStore.watch(ALL_KEYS, after, watchWait()),
                body -> {
                    MetadataStore.Changes changes = MetadataStore.decodeChanges(body);
                    List<Change> news = new ArrayList<>();
                    for (Change c : changes.changes()) {
                        if (isNews(c)) {
                            news.add(handleChange(c));
                        }
                    }
                    long servedNanos = System.nanoTime();
                    entries.apply(news, "self", servedNanos).ifPresent(this::setGracePeriod);
                    copy.keySet().removeIf(key -> !entries.isMirrored(key));
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
                    boolean hasExpired = expireEntries(servedNanos);
                    if (hasExpired || !changes.changes().isEmpty()) {
                        notifyListener("upstreams", () -> listener.upstreamsUpdated(entries.list()));
                    }
                    setPosition(new StorePosition(reader.era(), Math.max(knownRevision(), changes.revision())));
                    scheduleNextRead();
                },
                this::handleWatchTooLarge);
    }

    /** Returns whether a change is newer than what a full read has already shown of its key. */
    private boolean isNews(Change c) {
        Item known = copy.get(c.key());
        return known == null || known.revision() < c.revision();
    }

    private void setPosition(StorePosition newPosition) {
        position = Optional.of(newPosition);
        newestPosition = newPosition;
    }

    /** Returns the revision from which a watch continues, 0 if there is none. */
    private long knownRevision() {
        return position.map(StorePosition::revision).orElse(0L);
    }

    private Set<String> evacuatedZones() {
        return copy.keySet().stream()
                .flatMap(key -> EvacuationDecoder.zone(key).stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Handles a change of a key that is not an upstream's; returns the change as far as it is mirrored. */
    private Change handleChange(Change c) {
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
        return new Change(c.key(), item, c.revision());
    }

    private void setGracePeriod(MembershipView.GracePeriod grace) {
        graceEndNanos = OptionalLong.of(grace.endNanos());
    }

    /** Drops the entries that were kept, if the store served after their grace; returns whether there were any. */
    private boolean expireEntries(long servedNanos) {
        if (graceEndNanos.isPresent() && remainingGrace().isZero()) {
            graceEndNanos = OptionalLong.empty();
        }
        return entries.expire(servedNanos);
    }

    /** Returns the time until the end of the grace period, or the given time if that is shorter. */
    private Duration atMostRemainingGrace(Duration time) {
        return graceEndNanos.isPresent() && remainingGrace().compareTo(time) < 0 ? remainingGrace() : time;
    }

    private Duration remainingGrace() {
        return Duration.ofNanos(Math.max(0, graceEndNanos.orElseThrow() - System.nanoTime()));
    }

    /** Returns how long the store may wait for a change, so that a response arrives as the grace period ends. */
    private Duration watchWait() {
        return reader.isAvailable() ? atMostRemainingGrace(WATCH_WAIT) : Duration.ZERO;
    }

    /** Schedules the next read after a successful one; the first one after a grace period follows as that ends. */
    private void scheduleNextRead() {
        schedule(atMostRemainingGrace(watchPause));
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

    private void handleConfiguration(Item i) {
        try {
            RoutingTable table = ConfigurationDecoder.decode(i.value());
            if (table.version() > version) {
                version = table.version();
                LOG.info("configuration-in-force")
                        .with("version", version)
                        .with("revision", i.revision())
                        .with("age-ms", reader.sinceLastResponse().toMillis())
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

    /**
     * Returns the era of the store.
     *
     * @return number of the era, 0 if the store names none
     */
    public long storeEra() {
        return reader.era();
    }

    private static void notifyListener(String subject, Runnable notification) {
        new GuardedTask("notify-" + subject, notification).run();
    }

    @Override
    public void readUnanswered() {
        entries.recordUnansweredCall();
        readPeerCopies();
        schedule(Duration.ZERO);
    }

    @Override
    public void storeUnavailable(Duration delay) {
        entries.recordStoreFailure();
        readPeerCopies();
        schedule(delay);
    }

    @Override
    public void historyGone() {
        LOG.info("store-history-gone").with("revision", knownRevision()).write();
        position = Optional.empty();
        schedule(Duration.ZERO);
    }

    @Override
    public void storeReturned() {
        setGracePeriod(entries.recordStoreReturn(System.nanoTime()));
        newestPosition = new StorePosition(reader.era(), 0);
        isFullReadDue = true;
        schedule(Duration.ZERO);
    }

    private void schedule(Duration delay) {
        loop.schedule(this::readOrWatch, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
