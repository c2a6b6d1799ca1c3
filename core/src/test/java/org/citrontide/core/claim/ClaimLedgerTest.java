package org.citrontide.core.claim;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the ledger's calls to the platform's store and its handling of the results. */
final class ClaimLedgerTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long EPOCH_MILLIS = 1_700_000_000_000L;
    private static final Duration WINDOW = Duration.ofSeconds(120);
    private static final KeyHash KEY = new KeyHash(5, 1);
    private static final KeyHash SAME_BUCKET = new KeyHash(5 + KeyHash.BUCKETS, 1);
    private static final int BUCKET = KEY.bucket();

    private final ClaimLedger ledger = new ClaimLedger(7, WINDOW);

    @Test
    void claimsRequestedTogetherShareOneWrite() {
        requestClaim(1, KEY);
        requestClaim(2, SAME_BUCKET);
        ClaimAction.WriteBucket w = readBucket(0, List.of());
        assertEquals(2, w.claims().size());
        assertEquals(
                List.of(new ClaimAction.GrantClaim(1), new ClaimAction.GrantClaim(2)),
                handle(new ClaimEvent.BucketWritten(BUCKET, 1)));
    }

    @Test
    void latestStartPrecedesTheExpiryByTheClockMargin() {
        requestClaim(1, KEY);
        readBucket(0, List.of());
        handle(new ClaimEvent.BucketWritten(BUCKET, 1));
        ClaimLedger.LatestStart latest = ledger.latestStart(1).orElseThrow();
        Duration usable = WINDOW.minus(ClaimLedger.CLOCK_MARGIN);
        assertEquals(NANOS_PER_SECOND + usable.toNanos(), latest.nanos());
        assertEquals(EPOCH_MILLIS + usable.toMillis(), latest.epochMillis());
    }

    @Test
    void longerWindowDoesNotExtendAnExistingClaim() {
        requestClaim(1, KEY);
        readBucket(0, List.of());
        ledger.configure(WINDOW.multipliedBy(10));
        handle(new ClaimEvent.BucketWritten(BUCKET, 1));
        assertTrue(ledger.latestStart(1).orElseThrow().epochMillis() < EPOCH_MILLIS + WINDOW.toMillis());
    }

    @Test
    void writeWithUnknownOutcomeIsReadBack() {
        requestClaim(1, KEY);
        ClaimAction.WriteBucket w = readBucket(0, List.of());
        assertEquals(List.of(new ClaimAction.ReadBucket(BUCKET)), handle(new ClaimEvent.BucketFailed(BUCKET, true)));
        assertEquals(List.of(new ClaimAction.GrantClaim(1)), handle(new ClaimEvent.BucketRead(BUCKET, 1, w.claims())));
    }

    @Test
    void conflictingWriteGrantsNoClaim() {
        requestClaim(1, KEY);
        readBucket(0, List.of());
        assertEquals(List.of(new ClaimAction.ReadBucket(BUCKET)), handle(new ClaimEvent.BucketConflict(BUCKET)));
        Claim other = new Claim(KEY, new ClaimHolder(8, 1), EPOCH_MILLIS + 1000);
        assertEquals(
                List.of(new ClaimAction.DenyClaim(1, new Verdict.MayHaveRun(Reason.CLAIMED_BEFORE))),
                handle(new ClaimEvent.BucketRead(BUCKET, 4, List.of(other))));
    }

    @Test
    void unreachableStoreDeniesAsNotRunAndReleasesTheStoredClaim() {
        requestClaim(1, KEY);
        ClaimAction.WriteBucket w = readBucket(0, List.of());
        handle(new ClaimEvent.BucketFailed(BUCKET, true));
        ClaimAction.DenyClaim d = assertInstanceOf(
                ClaimAction.DenyClaim.class,
                handle(new ClaimEvent.BucketFailed(BUCKET, false)).getFirst());
        assertInstanceOf(Verdict.NotRun.class, d.verdict());
        assertEquals(List.of(new ClaimAction.ReadBucket(BUCKET)), handle(new ClaimEvent.Tick()));
        ClaimAction.WriteBucket release = assertInstanceOf(
                ClaimAction.WriteBucket.class,
                handle(new ClaimEvent.BucketRead(BUCKET, 1, w.claims())).getFirst());
        assertEquals(List.of(), release.claims());
    }

    @Test
    void retryWithTheSameKeyGetsTheCachedResponse() {
        requestClaim(1, KEY);
        readBucket(0, List.of());
        handle(new ClaimEvent.BucketWritten(BUCKET, 1));
        assertEquals(
                List.of(new ClaimAction.DenyClaim(2, new Verdict.MayHaveRun(Reason.IN_PROGRESS))),
                requestClaim(2, KEY));
        StoredResponse response = new StoredResponse(200, "text/plain", new byte[] {1});
        handle(new ClaimEvent.CallFinished(1, Optional.of(response)));
        assertEquals(List.of(new ClaimAction.ReplayResponse(3, response)), requestClaim(3, KEY));
    }

    @Test
    void expiredClaimIsReplacedOnlyAfterTheClockMargin() {
        Claim old = new Claim(KEY, new ClaimHolder(8, 1), EPOCH_MILLIS - ClaimLedger.CLOCK_MARGIN.toMillis());
        requestClaim(1, KEY);
        assertInstanceOf(
                ClaimAction.DenyClaim.class,
                handle(new ClaimEvent.BucketRead(BUCKET, 4, List.of(old))).getFirst());
        requestClaim(2, SAME_BUCKET);
        Claim older = new Claim(KEY, new ClaimHolder(8, 1), EPOCH_MILLIS - ClaimLedger.CLOCK_MARGIN.toMillis() - 1);
        handle(new ClaimEvent.BucketConflict(BUCKET));
        assertEquals(1, readBucket(5, List.of(older)).claims().size());
    }

    private List<ClaimAction> requestClaim(long attempt, KeyHash key) {
        return handle(new ClaimEvent.ClaimRequested(attempt, key, 10 * NANOS_PER_SECOND));
    }

    private ClaimAction.WriteBucket readBucket(long revision, List<Claim> claims) {
        return assertInstanceOf(
                ClaimAction.WriteBucket.class,
                handle(new ClaimEvent.BucketRead(BUCKET, revision, claims)).getFirst());
    }

    private List<ClaimAction> handle(ClaimEvent event) {
        return ledger.handle(event, NANOS_PER_SECOND, EPOCH_MILLIS);
    }
}
