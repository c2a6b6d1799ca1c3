package org.citrontide.sidecar.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.InvalidProtocolBufferException;
import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.ClaimEvent;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.client.StoreReply;
import org.citrontide.wire.codec.ClaimCodec;

/** Reads and writes the claim buckets of one service in the platform's store. Thread-safe. */
public final class ClaimStore {
    private static final String KEY_PREFIX = "claims/";

    private final StoreClient store;
    private final String service;

    /**
     * Creates the store of the claims of one service.
     *
     * @param store client of the platform's store
     * @param service name of the service
     */
    public ClaimStore(StoreClient store, String service) {
        this.store = store;
        this.service = service;
    }

    CompletableFuture<ClaimEvent> read(ClaimAction.ReadBucket r) {
        return store.get(bucketKey(r.bucket())).thenApply(reply -> switch (reply) {
            case StoreReply.Value v -> decode(r.bucket(), v);
            case StoreReply.NotFound m -> new ClaimEvent.BucketRead(r.bucket(), 0, List.of());
            default -> new ClaimEvent.BucketFailed(r.bucket(), false);
        });
    }

    CompletableFuture<ClaimEvent> write(ClaimAction.WriteBucket w) {
        return store.put(bucketKey(w.bucket()), w.expectedRevision(), ClaimCodec.encode(w.claims()))
                .thenApply(reply -> switch (reply) {
                    case StoreReply.Written x -> new ClaimEvent.BucketWritten(w.bucket(), x.revision());
                    case StoreReply.Conflict c -> new ClaimEvent.BucketConflict(w.bucket());
                    case StoreReply.Failed f -> new ClaimEvent.BucketFailed(w.bucket(), f.mayHaveTakenEffect());
                    default -> new ClaimEvent.BucketFailed(w.bucket(), true);
                });
    }

    private String bucketKey(int bucket) {
        return KEY_PREFIX + service + "/" + bucket;
    }

    private static ClaimEvent decode(int bucket, StoreReply.Value v) {
        try {
            return new ClaimEvent.BucketRead(bucket, v.revision(), ClaimCodec.decode(v.value()));
        } catch (InvalidProtocolBufferException e) {
            return new ClaimEvent.BucketFailed(bucket, false);
        }
    }
}
