package org.citrontide.core.claim;

import java.util.List;
import java.util.Optional;

/** An event that a {@link ClaimLedger} handles. Immutable. */
public sealed interface ClaimEvent {

    /**
     * An attempt requests a claim, which it needs before it may run.
     *
     * @param attempt number of the attempt, unique within the process
     * @param key hash of the attempt's idempotency key
     * @param deadlineNanos monotonic time in ns from which the attempt must not start
     */
    record ClaimRequested(long attempt, KeyHash key, long deadlineNanos) implements ClaimEvent {}

    /**
     * The attempt's call was certainly not sent, or the attempt was cancelled before its claim was granted.
     *
     * @param attempt number of the attempt
     */
    record CallNotSent(long attempt) implements ClaimEvent {}

    /**
     * The attempt's call ended after it had been sent.
     *
     * @param attempt number of the attempt
     * @param response the complete response, or empty if it was lost
     */
    record CallFinished(long attempt, Optional<StoredResponse> response) implements ClaimEvent {}

    /**
     * A bucket was read.
     *
     * @param bucket number of the bucket
     * @param revision revision of the bucket, 0 if it does not exist
     * @param claims the claims in the bucket
     */
    record BucketRead(int bucket, long revision, List<Claim> claims) implements ClaimEvent {}

    /**
     * A bucket was written.
     *
     * @param bucket number of the bucket
     * @param revision new revision of the bucket
     */
    record BucketWritten(int bucket, long revision) implements ClaimEvent {}

    /**
     * A bucket was not written, because its revision did not match the expected one.
     *
     * @param bucket number of the bucket
     */
    record BucketConflict(int bucket) implements ClaimEvent {}

    /**
     * A read or write of a bucket failed or got no response.
     *
     * @param bucket number of the bucket
     * @param mayHaveTakenEffect whether a write may have taken effect despite the failure
     */
    record BucketFailed(int bucket, boolean mayHaveTakenEffect) implements ClaimEvent {}

    /** Time advanced; requests may have expired. */
    record Tick() implements ClaimEvent {}
}
