package org.citrontide.core.claim;

import java.util.List;

import org.citrontide.core.verdict.Verdict;

/** An action that a {@link ClaimLedger} requests from its caller. Immutable. */
public sealed interface ClaimAction {

    /**
     * Reads a bucket.
     *
     * @param bucket number of the bucket
     */
    record ReadBucket(int bucket) implements ClaimAction {}

    /**
     * Writes a bucket by compare-and-set.
     *
     * @param bucket number of the bucket
     * @param expectedRevision revision that the bucket must have, 0 if it must not exist
     * @param claims the new claims of the bucket
     */
    record WriteBucket(int bucket, long expectedRevision, List<Claim> claims) implements ClaimAction {}

    /**
     * Grants the attempt its claim.
     *
     * @param attempt number of the attempt
     */
    record GrantClaim(long attempt) implements ClaimAction {}

    /**
     * Denies the attempt its claim; it must not run.
     *
     * @param attempt number of the attempt
     * @param verdict verdict to respond with
     */
    record DenyClaim(long attempt, Verdict verdict) implements ClaimAction {}

    /**
     * Responds to the attempt with the stored response to an earlier request with the same key.
     *
     * @param attempt number of the attempt
     * @param response the response to replay
     */
    record ReplayResponse(long attempt, StoredResponse response) implements ClaimAction {}
}
