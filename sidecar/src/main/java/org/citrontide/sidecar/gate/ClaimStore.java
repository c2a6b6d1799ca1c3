package org.citrontide.sidecar.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.InvalidProtocolBufferException;
import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.ClaimEvent;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.client.StoreReply;
import org.citrontide.wire.codec.ClaimCodec;

/** Carries out the calls of a claim ledger at the platform's service. Safe for use by many threads. */
public final class ClaimStore {
    private static final String PREFIX = "claims/";

    private final StoreClient store;
    private final String service;

    /**
     * Makes the store of one service's claims.
     *
     * @param store client of the platform's service
     * @param service name of the service
     */
    public ClaimStore(StoreClient store, String service) {
        this.store = store;
        this.service = service;
    }

    CompletableFuture<ClaimEvent> read(ClaimAction.ReadBucket r) {
        return store.get(key(r.bucket())).thenApply(reply -> switch (reply) {
            case StoreReply.Value v -> decoded(r.bucket(), v);
            case StoreReply.NotFound m -> new ClaimEvent.BucketRead(r.bucket(), 0, List.of());
            default -> new ClaimEvent.BucketFailed(r.bucket(), false);
        });
    }

    CompletableFuture<ClaimEvent> write(ClaimAction.WriteBucket w) {
        return store.put(key(w.bucket()), w.expectedRevision(), ClaimCodec.encode(w.claims()))
                .thenApply(reply -> switch (reply) {
                    case StoreReply.Written x -> new ClaimEvent.BucketWritten(w.bucket(), x.revision());
                    case StoreReply.Conflict c -> new ClaimEvent.BucketConflict(w.bucket());
                    case StoreReply.Failed f -> new ClaimEvent.BucketFailed(w.bucket(), f.mayHaveTakenEffect());
                    default -> new ClaimEvent.BucketFailed(w.bucket(), true);
                });
    }

    private String key(int bucket) {
        return PREFIX + service + "/" + bucket;
    }

    private static ClaimEvent decoded(int bucket, StoreReply.Value v) {
        try {
            return new ClaimEvent.BucketRead(bucket, v.revision(), ClaimCodec.decode(v.value()));
        } catch (InvalidProtocolBufferException e) {
            return new ClaimEvent.BucketFailed(bucket, false);
        }
    }
}
