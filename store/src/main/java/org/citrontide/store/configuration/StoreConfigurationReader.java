package org.citrontide.store.configuration;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.InvalidProtocolBufferException;
import org.citrontide.core.publication.ConfigurationSyncEvent;
import org.citrontide.core.publication.Head;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.client.StoreReply;
import org.citrontide.wire.codec.ConfigurationCodec;

/** Reads the configuration head and the files that it lists from the platform's key-value service. Thread-safe. */
public final class StoreConfigurationReader {
    /** Key of the configuration head. */
    public static final String HEAD_KEY = "configuration/head";

    /** Prefix of the keys of file contents; the hash of the content follows it. */
    public static final String FILE_PREFIX = "configuration/files/";

    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);

    private final StoreClient store;
    private final AtomicLong lastHeadRevision = new AtomicLong();

    /**
     * Creates a reader.
     *
     * @param store client of the platform's key-value service
     */
    public StoreConfigurationReader(StoreClient store) {
        this.store = store;
    }

    /**
     * Reads the head and the contents of the files newer than a version.
     *
     * @param watch whether to wait for a head that differs from the last one read
     * @param known the last head read; reported again if the watch sees no change
     * @param haveVersion version in force in this process
     * @return the event for the configuration sync controller
     */
    public CompletableFuture<ConfigurationSyncEvent> read(boolean watch, Head known, long haveVersion) {
        long after = lastHeadRevision.get();
        boolean wait = watch && after > 0 && known.version() == haveVersion;
        CompletableFuture<StoreReply> reply = wait ? store.watch(HEAD_KEY, after, WATCH_TIMEOUT) : store.get(HEAD_KEY);
        return reply.thenCompose(r -> switch (r) {
            case StoreReply.Value v -> readFiles(v, haveVersion);
            case StoreReply.NotModified u -> completed(new ConfigurationSyncEvent.StoreHead(known, Map.of()));
            case StoreReply.NotFound m -> completed(new ConfigurationSyncEvent.StoreHead(Head.EMPTY, Map.of()));
            default -> completed(new ConfigurationSyncEvent.StoreFailed());
        });
    }

    private CompletableFuture<ConfigurationSyncEvent> readFiles(StoreReply.Value value, long haveVersion) {
        Head head;
        try {
            head = ConfigurationCodec.decodeHead(value.value());
        } catch (InvalidProtocolBufferException e) {
            return completed(new ConfigurationSyncEvent.StoreFailed());
        }
        List<String> hashes = head.files().values().stream()
                .filter(f -> f.version() > haveVersion)
                .map(Head.HeadFile::hash)
                .distinct()
                .toList();
        List<CompletableFuture<StoreReply>> reads = new ArrayList<>();
        hashes.forEach(h -> reads.add(store.get(FILE_PREFIX + h)));
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenApply(ignored -> {
            Map<String, String> texts = new HashMap<>();
            for (int i = 0; i < hashes.size(); i++) {
                if (!(reads.get(i).join() instanceof StoreReply.Value v)) {
                    return new ConfigurationSyncEvent.StoreFailed();
                }
                texts.put(hashes.get(i), new String(v.value(), StandardCharsets.UTF_8));
            }
            lastHeadRevision.set(value.revision());
            return new ConfigurationSyncEvent.StoreHead(head, texts);
        });
    }

    private static CompletableFuture<ConfigurationSyncEvent> completed(ConfigurationSyncEvent event) {
        return CompletableFuture.completedFuture(event);
    }
}
