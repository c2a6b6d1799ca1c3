package org.citrontide.core.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The last known value of a bucket and the changes that are pending for it.
 *
 * <p>Invariant: at most one call to the platform's store is outstanding per bucket. Not thread-safe.
 */
final class ClaimBucketState {

    /** The outstanding call to the platform's store. */
    enum Call {
        NONE,
        READ,
        WRITE
    }

    /**
     * A value of the bucket as last read or written.
     *
     * @param revision revision of the bucket
     * @param claims claims by key
     */
    record Snapshot(long revision, Map<KeyHash, Claim> claims) {
        static Snapshot of(long revision, List<Claim> claims) {
            Map<KeyHash, Claim> map = new LinkedHashMap<>();
            claims.forEach(c -> map.put(c.key(), c));
            return new Snapshot(revision, map);
        }
    }

    final int number;
    final List<PendingClaim> requests = new ArrayList<>();
    final Set<ClaimHolder> releases = new LinkedHashSet<>();
    Call outstandingCall = Call.NONE;

    /** Whether the last call failed; a bucket with releases only is then not retried before the next tick. */
    boolean hasStoreFailed;

    Optional<Snapshot> snapshot = Optional.empty();

    /** Claims, insertions and releases of the outstanding write. */
    List<Claim> writtenClaims = List.of();

    List<PendingClaim> writtenRequests = List.of();
    List<ClaimHolder> writtenReleases = List.of();

    ClaimBucketState(int number) {
        this.number = number;
    }

    boolean hasPendingChanges() {
        return !requests.isEmpty() || !releases.isEmpty();
    }

    /** Returns the changes of the outstanding write to the pending ones, so that they are retried. */
    void requeueWrite() {
        requests.addAll(0, writtenRequests);
        releases.addAll(writtenReleases);
        clearWrite();
    }

    void clearWrite() {
        writtenClaims = List.of();
        writtenRequests = List.of();
        writtenReleases = List.of();
    }
}
