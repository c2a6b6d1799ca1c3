package org.citrontide.core.faults;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.citrontide.core.claim.Claim;
import org.citrontide.core.claim.ClaimAction;
import org.citrontide.core.claim.ClaimEvent;

/** Buckets with compare-and-swap. */
final class FakeClaimStore {
    boolean down;

    private final Map<Integer, Stored> buckets = new HashMap<>();
    private long nextRevision = 1;

    ClaimEvent carryOut(ClaimAction call) {
        return switch (call) {
            case ClaimAction.ReadBucket r -> {
                Stored s = buckets.getOrDefault(r.bucket(), new Stored(0, List.of()));
                yield new ClaimEvent.BucketRead(r.bucket(), s.revision(), s.claims());
            }
            case ClaimAction.WriteBucket w -> {
                Stored s = buckets.getOrDefault(w.bucket(), new Stored(0, List.of()));
                if (s.revision() != w.expectedRevision()) {
                    yield new ClaimEvent.BucketConflict(w.bucket());
                }
                buckets.put(w.bucket(), new Stored(nextRevision, w.claims()));
                yield new ClaimEvent.BucketWritten(w.bucket(), nextRevision++);
            }
            default -> throw new IllegalStateException("not a call: " + call);
        };
    }

    static int bucket(ClaimAction call) {
        return call instanceof ClaimAction.ReadBucket r ? r.bucket() : ((ClaimAction.WriteBucket) call).bucket();
    }

    private record Stored(long revision, List<Claim> claims) {}
}
