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

/** Reads the head and the files that it names from the platform's service. Safe for use by many threads. */
public final class StoredConfiguration {
    /** Key of the head. */
    public static final String HEAD_KEY = "configuration/head";

    /** Prefix of the keys of files' contents; their hash follows. */
    public static final String FILE_PREFIX = "configuration/files/";

    private static final Duration WATCH_WAIT = Duration.ofSeconds(2);

    private final StoreClient store;
    private final AtomicLong lastRevision = new AtomicLong();

    /**
     * Makes a reader.
     *
     * @param store client of the platform's service
     */
    public StoredConfiguration(StoreClient store) {
        this.store = store;
    }

    /**
     * Reads the head and the contents newer than a version.
     *
     * @param watch whether to wait for a head other than the last one read
     * @param known the head last read, returned again if a watch saw no change
     * @param haveVersion version in force here
     * @return the event for the spread controller
     */
    public CompletableFuture<ConfigurationSyncEvent> read(boolean watch, Head known, long haveVersion) {
        long after = lastRevision.get();
        boolean wait = watch && after > 0 && known.version() == haveVersion;
        CompletableFuture<StoreReply> reply = wait ? store.watch(HEAD_KEY, after, WATCH_WAIT) : store.get(HEAD_KEY);
        return reply.thenCompose(r -> switch (r) {
            case StoreReply.Value v -> withFiles(v, haveVersion);
            case StoreReply.Unchanged u -> done(new ConfigurationSyncEvent.StoreHead(known, Map.of()));
            case StoreReply.Missing m -> done(new ConfigurationSyncEvent.StoreHead(Head.EMPTY, Map.of()));
            default -> done(new ConfigurationSyncEvent.StoreFailed());
        });
    }

    private CompletableFuture<ConfigurationSyncEvent> withFiles(StoreReply.Value value, long haveVersion) {
        Head head;
        try {
            head = ConfigurationCodec.decodeHead(value.value());
        } catch (InvalidProtocolBufferException e) {
            return done(new ConfigurationSyncEvent.StoreFailed());
        }
        List<String> hashes = head.files().values().stream()
                .filter(f -> f.version() > haveVersion)
                .map(Head.HeadFile::hash)
                .distinct()
                .toList();
        List<CompletableFuture<StoreReply>> reads = new ArrayList<>();
        hashes.forEach(h -> reads.add(store.get(FILE_PREFIX + h)));
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenApply(done -> {
            Map<String, String> texts = new HashMap<>();
            for (int i = 0; i < hashes.size(); i++) {
                if (!(reads.get(i).join() instanceof StoreReply.Value v)) {
                    return new ConfigurationSyncEvent.StoreFailed();
                }
                texts.put(hashes.get(i), new String(v.value(), StandardCharsets.UTF_8));
            }
            lastRevision.set(value.revision());
            return new ConfigurationSyncEvent.StoreHead(head, texts);
        });
    }

    private static CompletableFuture<ConfigurationSyncEvent> done(ConfigurationSyncEvent event) {
        return CompletableFuture.completedFuture(event);
    }
}
