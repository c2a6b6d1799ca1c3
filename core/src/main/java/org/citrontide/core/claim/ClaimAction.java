package org.citrontide.core.claim;

import java.util.List;

import org.citrontide.core.verdict.Verdict;

/** What a {@link ClaimLedger} asks of its shell. Immutable. */
public sealed interface ClaimAction {

    /**
     * Read a bucket.
     *
     * @param bucket number of the bucket
     */
    record Read(int bucket) implements ClaimAction {}

    /**
     * Write a bucket by compare-and-swap.
     *
     * @param bucket number of the bucket
     * @param expectedRevision revision the bucket must have, 0 if it must not exist
     * @param claims the new value
     */
    record Write(int bucket, long expectedRevision, List<Claim> claims) implements ClaimAction {}

    /**
     * The attempt holds its claim.
     *
     * @param attempt number of the attempt
     */
    record Granted(long attempt) implements ClaimAction {}

    /**
     * The attempt must not run.
     *
     * @param attempt number of the attempt
     * @param verdict what to answer
     */
    record Denied(long attempt, Verdict verdict) implements ClaimAction {}

    /**
     * The same key was answered before.
     *
     * @param attempt number of the attempt
     * @param answer the answer to repeat
     */
    record Replay(long attempt, StoredAnswer answer) implements ClaimAction {}
}
