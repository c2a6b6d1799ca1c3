package org.citrontide.core.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a sidecar knows of one bucket and what it wants to change in it.
 *
 * <p>Invariant: at most one call to the platform's service is outstanding for a bucket. Not thread-safe.
 */
final class ClaimBucketState {

    /** What is outstanding at the platform's service. */
    enum Call {
        NONE,
        READ,
        WRITE
    }

    /**
     * The bucket's last known value.
     *
     * @param revision its revision
     * @param claims the claims by key
     */
    record Known(long revision, Map<KeyHash, Claim> claims) {
        static Known of(long revision, List<Claim> claims) {
            Map<KeyHash, Claim> map = new LinkedHashMap<>();
            claims.forEach(c -> map.put(c.key(), c));
            return new Known(revision, map);
        }
    }

    final int number;
    final List<PendingClaim> asks = new ArrayList<>();
    final Set<ClaimHolder> releases = new LinkedHashSet<>();
    Call call = Call.NONE;

    /** Whether the last call failed; releases alone then wait for the next tick. */
    boolean storeFailed;

    Optional<Known> known = Optional.empty();

    /** Value, insertions and releases of the outstanding write. */
    List<Claim> writing = List.of();

    List<PendingClaim> inserting = List.of();
    List<ClaimHolder> releasing = List.of();

    ClaimBucketState(int number) {
        this.number = number;
    }

    boolean hasWork() {
        return !asks.isEmpty() || !releases.isEmpty();
    }

    /** Puts the changes of the outstanding write back to be tried again. */
    void takeBackWrite() {
        asks.addAll(0, inserting);
        releases.addAll(releasing);
        clearWrite();
    }

    void clearWrite() {
        writing = List.of();
        inserting = List.of();
        releasing = List.of();
    }
}
