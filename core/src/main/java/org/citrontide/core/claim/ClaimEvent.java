package org.citrontide.core.claim;

import java.util.List;
import java.util.Optional;

/** What happens to a {@link ClaimLedger}. Immutable. */
public sealed interface ClaimEvent {

    /**
     * An attempt wants to run and needs a claim first.
     *
     * @param attempt number of the attempt, never used before
     * @param key hash of its idempotency key
     * @param deadlineNanos monotonic time after which it must not start
     */
    record Ask(long attempt, KeyHash key, long deadlineNanos) implements ClaimEvent {}

    /**
     * An attempt's call certainly never went out, or is no longer wanted before it was granted.
     *
     * @param attempt number of the attempt
     */
    record NeverSent(long attempt) implements ClaimEvent {}

    /**
     * An attempt's call ended after it went out.
     *
     * @param attempt number of the attempt
     * @param answer the whole answer, or empty if it was lost
     */
    record Finished(long attempt, Optional<StoredAnswer> answer) implements ClaimEvent {}

    /**
     * A read of a bucket was answered.
     *
     * @param bucket number of the bucket
     * @param revision revision of the value, 0 if the bucket does not exist
     * @param claims the value
     */
    record BucketRead(int bucket, long revision, List<Claim> claims) implements ClaimEvent {}

    /**
     * A write of a bucket took effect.
     *
     * @param bucket number of the bucket
     * @param revision revision of the new value
     */
    record BucketWritten(int bucket, long revision) implements ClaimEvent {}

    /**
     * A write of a bucket was refused because the revision was another one.
     *
     * @param bucket number of the bucket
     */
    record BucketConflict(int bucket) implements ClaimEvent {}

    /**
     * A read or write got no answer, or an error.
     *
     * @param bucket number of the bucket
     * @param mayHaveTakenEffect whether a write may have been carried out all the same
     */
    record BucketFailed(int bucket, boolean mayHaveTakenEffect) implements ClaimEvent {}

    /** Time passed. */
    record Tick() implements ClaimEvent {}
}
