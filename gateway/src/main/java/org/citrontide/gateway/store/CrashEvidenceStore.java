package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.quarantine.EvidenceRetention;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.platform.PlatformCall;
import org.citrontide.runtime.log.EventLog;

/**
 * Shares evidence on crashes between the gateways: writes the observations of this gateway to the store, and combines
 * them with those that {@link StoreMirror} has read. While the store does not serve this gateway, its peers write them.
 *
 * <p>Invariants: an observation of this gateway or of a peer counts from its publication, also while the store is
 * unavailable; it is written again until the store has confirmed it; it no longer counts once its key has been removed
 * from the store. Evidence of a peer is not sent on to other peers. Not thread-safe: confined to the event loop.
 */
public final class CrashEvidenceStore {
    /** Prefix of the keys of all evidence. */
    public static final String PREFIX = "citrontide/crashes/";

    /** Path at which peers take evidence. */
    public static final String PEER_PATH = "/crash-evidence";

    private static final EventLog LOG = EventLog.of(CrashEvidenceStore.class);
    // A slow response of the store takes a quarter of a second; after this time, peers are told.
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);
    // The store accepts 32 entries in a transaction.
    private static final int MAX_PUTS = 16;
    private static final int MAX_REMOVALS = 16;
    private static final int OK = 200;

    private final PlatformClient client;
    private final InetSocketAddress store;
    private final List<InetSocketAddress> peers;
    private final EventLoop loop;
    private final String vm;
    private final Consumer<List<CrashEvidence>> listener;
    private final Map<String, CrashEvidence> unwritten = new LinkedHashMap<>();
    private final Set<String> keysOfPeers = new HashSet<>();
    private final Map<String, CrashEvidence> unread = new HashMap<>();
    private final Map<String, CrashEvidence> shared = new HashMap<>();
    private boolean isWriting;
    private boolean isRetryScheduled;

    /**
     * Creates an empty store.
     *
     * @param client client for the calls to the store
     * @param store address of the store
     * @param peers addresses of the gateways that write this one's evidence while it can't
     * @param loop event loop that runs all calls and timers
     * @param vm name of this VM
     * @param listener receives the evidence of all gateways whenever it changes
     */
    public CrashEvidenceStore(
            PlatformClient client,
            InetSocketAddress store,
            List<InetSocketAddress> peers,
            EventLoop loop,
            String vm,
            Consumer<List<CrashEvidence>> listener) {
        this.client = client;
        this.store = store;
        this.peers = List.copyOf(peers);
        this.loop = loop;
        this.vm = vm;
        this.listener = listener;
    }

    /**
     * Publishes an observation of this gateway.
     *
     * @param evidence the observation
     */
    public void publish(CrashEvidence evidence) {
        unwritten.put(key(evidence), evidence);
        notifyListener();
        write();
    }

    /**
     * Publishes the observations of a peer that can't write them.
     *
     * @param page page of the observations
     * @throws DecodeException if the page or an observation is malformed
     */
    public void receive(byte[] page) throws DecodeException {
        Map<String, CrashEvidence> received = new LinkedHashMap<>();
        for (Item i : MetadataStore.decodePage(page).items()) {
            if (!i.key().startsWith(PREFIX)) {
                throw new DecodeException("not a key of evidence: " + i.key());
            }
            received.put(i.key(), CrashEvidenceCodec.decode(i.value(), System.nanoTime(), System.currentTimeMillis()));
        }
        received.keySet().removeAll(shared.keySet());
        received.keySet().removeAll(unread.keySet());
        received.keySet().removeAll(unwritten.keySet());
        if (received.isEmpty()) {
            return;
        }
        LOG.info("crash-evidence-received").with("count", received.size()).write();
        unwritten.putAll(received);
        keysOfPeers.addAll(received.keySet());
        notifyListener();
        write();
    }

    /**
     * Replaces the evidence read from the store.
     *
     * @param items all items whose keys have the prefix of evidence
     */
    public void updateShared(Collection<Item> items) {
        shared.clear();
        long nowNanos = System.nanoTime();
        long nowUnixMs = System.currentTimeMillis();
        for (Item i : items) {
            try {
                shared.put(i.key(), CrashEvidenceCodec.decode(i.value(), nowNanos, nowUnixMs));
            } catch (DecodeException e) {
                LOG.warn("crash-evidence-unusable")
                        .with("key", i.key())
                        .with("why", e.getMessage())
                        .write();
            }
        }
        unread.keySet().removeAll(shared.keySet());
        notifyListener();
    }

    private String key(CrashEvidence evidence) {
        return PREFIX
                + switch (evidence) {
                    case CrashEvidence.Crash c -> "upstream/" + c.upstream() + '/' + vm + '/' + c.observedNanos();
                    case CrashEvidence.Answer a -> "answered/" + a.part();
                };
    }

    private void write() {
        if (isWriting || unwritten.isEmpty()) {
            return;
        }
        isWriting = true;
        Map<String, CrashEvidence> batch = new LinkedHashMap<>();
        unwritten.entrySet().stream().limit(MAX_PUTS).forEach(e -> batch.put(e.getKey(), e.getValue()));
        client.call(store, transaction(batch), CALL_TIMEOUT).whenComplete((response, failure) -> {
            isWriting = false;
            if (failure == null && response.status() == OK) {
                LOG.info("crash-evidence-written").with("count", batch.size()).write();
                unread.putAll(batch);
                unread.keySet().removeAll(shared.keySet());
                unwritten.entrySet().removeIf(e -> batch.get(e.getKey()) == e.getValue());
                keysOfPeers.retainAll(unwritten.keySet());
                write();
                return;
            }
            LOG.warn("crash-evidence-unwritten")
                    .with("count", unwritten.size())
                    .with("why", failure != null ? failure.getMessage() : "status " + response.status())
                    .write();
            sendToPeers(batch);
            scheduleRetry();
        });
    }

    private void scheduleRetry() {
        if (isRetryScheduled) {
            return;
        }
        isRetryScheduled = true;
        loop.schedule(
                () -> {
                    isRetryScheduled = false;
                    write();
                },
                RETRY_DELAY.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Sends this gateway's own observations to all peers, any of which may be unable to write them as well. */
    private void sendToPeers(Map<String, CrashEvidence> batch) {
        long nowNanos = System.nanoTime();
        long nowUnixMs = System.currentTimeMillis();
        List<Item> items = batch.entrySet().stream()
                .filter(e -> !keysOfPeers.contains(e.getKey()))
                .map(e -> new Item(e.getKey(), CrashEvidenceCodec.encode(e.getValue(), nowNanos, nowUnixMs), 0))
                .toList();
        if (items.isEmpty()) {
            return;
        }
        PlatformCall call = new PlatformCall("POST", PEER_PATH, MetadataStore.encodePage(items, 0));
        for (InetSocketAddress peer : peers) {
            client.call(peer, call, PEER_TIMEOUT)
                    .whenComplete((response, failure) -> LOG.info("crash-evidence-sent")
                            .with("peer", peer)
                            .with("count", items.size())
                            .with("outcome", failure != null ? failure.getMessage() : "status " + response.status())
                            .write());
        }
    }

    private PlatformCall transaction(Map<String, CrashEvidence> batch) {
        long nowNanos = System.nanoTime();
        long nowUnixMs = System.currentTimeMillis();
        Map<String, byte[]> puts = new LinkedHashMap<>();
        batch.forEach((key, evidence) -> puts.put(key, CrashEvidenceCodec.encode(evidence, nowNanos, nowUnixMs)));
        List<String> removals = EvidenceRetention.findRemovable(shared, nowNanos).stream()
                .filter(key -> !puts.containsKey(key))
                .limit(MAX_REMOVALS)
                .toList();
        return MetadataStore.transaction(Map.of(), puts, 0, removals);
    }

    private void notifyListener() {
        Map<String, CrashEvidence> all = new HashMap<>(shared);
        all.putAll(unread);
        all.putAll(unwritten);
        listener.accept(new ArrayList<>(all.values()));
    }
}
