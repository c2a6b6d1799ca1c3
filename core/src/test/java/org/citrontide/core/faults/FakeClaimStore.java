package org.citrontide.core.faults;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.citrontide.core.claim.Claim;
import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.ClaimEvent;

/** An in-memory store of claim buckets with compare-and-set. */
final class FakeClaimStore {
    boolean down;

    private final Map<Integer, Bucket> buckets = new HashMap<>();
    private long nextRevision = 1;

    ClaimEvent execute(ClaimAction call) {
        return switch (call) {
            case ClaimAction.ReadBucket r -> {
                Bucket bucket = buckets.getOrDefault(r.bucket(), new Bucket(0, List.of()));
                yield new ClaimEvent.BucketRead(r.bucket(), bucket.revision(), bucket.claims());
            }
            case ClaimAction.WriteBucket w -> {
                Bucket bucket = buckets.getOrDefault(w.bucket(), new Bucket(0, List.of()));
                if (bucket.revision() != w.expectedRevision()) {
                    yield new ClaimEvent.BucketConflict(w.bucket());
                }
                buckets.put(w.bucket(), new Bucket(nextRevision, w.claims()));
                yield new ClaimEvent.BucketWritten(w.bucket(), nextRevision++);
            }
            default -> throw new IllegalStateException("not a store call: " + call);
        };
    }

    static int bucket(ClaimAction call) {
        return call instanceof ClaimAction.ReadBucket r ? r.bucket() : ((ClaimAction.WriteBucket) call).bucket();
    }

    private record Bucket(long revision, List<Claim> claims) {}
}
