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

/** Checks the ledger's calls to the platform's service and what it makes of the answers. */
final class ClaimLedgerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long EPOCH = 1_700_000_000_000L;
    private static final Duration WINDOW = Duration.ofSeconds(120);
    private static final KeyHash KEY = new KeyHash(5, 1);
    private static final KeyHash SAME_BUCKET = new KeyHash(5 + KeyHash.BUCKETS, 1);
    private static final int BUCKET = KEY.bucket();

    private final ClaimLedger ledger = new ClaimLedger(7, WINDOW);

    @Test
    void claimsThatArriveTogetherShareOneWrite() {
        ask(1, KEY);
        ask(2, SAME_BUCKET);
        ClaimAction.Write w = read(0, List.of());
        assertEquals(2, w.claims().size());
        assertEquals(
                List.of(new ClaimAction.Granted(1), new ClaimAction.Granted(2)),
                on(new ClaimEvent.BucketWritten(BUCKET, 1)));
    }

    @Test
    void startIsAllowedOnlyWhileTheClaimIsFarFromItsExpiry() {
        ask(1, KEY);
        read(0, List.of());
        on(new ClaimEvent.BucketWritten(BUCKET, 1));
        ClaimLedger.LatestStart latest = ledger.latestStart(1).orElseThrow();
        Duration usable = WINDOW.minus(ClaimLedger.CLOCK_MARGIN);
        assertEquals(SECOND + usable.toNanos(), latest.nanos());
        assertEquals(EPOCH + usable.toMillis(), latest.epochMillis());
    }

    @Test
    void windowSetLaterDoesNotLengthenAnOlderClaim() {
        ask(1, KEY);
        read(0, List.of());
        ledger.configure(WINDOW.multipliedBy(10));
        on(new ClaimEvent.BucketWritten(BUCKET, 1));
        assertTrue(ledger.latestStart(1).orElseThrow().epochMillis() < EPOCH + WINDOW.toMillis());
    }

    @Test
    void lostAnswerIsSettledByReadingBack() {
        ask(1, KEY);
        ClaimAction.Write w = read(0, List.of());
        assertEquals(List.of(new ClaimAction.Read(BUCKET)), on(new ClaimEvent.BucketFailed(BUCKET, true)));
        assertEquals(List.of(new ClaimAction.Granted(1)), on(new ClaimEvent.BucketRead(BUCKET, 1, w.claims())));
    }

    @Test
    void conflictIsNoGrant() {
        ask(1, KEY);
        read(0, List.of());
        assertEquals(List.of(new ClaimAction.Read(BUCKET)), on(new ClaimEvent.BucketConflict(BUCKET)));
        Claim rival = new Claim(KEY, new ClaimHolder(8, 1), EPOCH + 1000);
        assertEquals(
                List.of(new ClaimAction.Denied(1, new Verdict.MayHaveRun(Reason.CLAIMED_BEFORE))),
                on(new ClaimEvent.BucketRead(BUCKET, 4, List.of(rival))));
    }

    @Test
    void unreachableStoreRefusesAsNotRunAndTheClaimThatMayExistIsReleased() {
        ask(1, KEY);
        ClaimAction.Write w = read(0, List.of());
        on(new ClaimEvent.BucketFailed(BUCKET, true));
        ClaimAction.Denied d = assertInstanceOf(
                ClaimAction.Denied.class,
                on(new ClaimEvent.BucketFailed(BUCKET, false)).getFirst());
        assertInstanceOf(Verdict.NotRun.class, d.verdict());
        assertEquals(List.of(new ClaimAction.Read(BUCKET)), on(new ClaimEvent.Tick()));
        ClaimAction.Write release = assertInstanceOf(
                ClaimAction.Write.class,
                on(new ClaimEvent.BucketRead(BUCKET, 1, w.claims())).getFirst());
        assertEquals(List.of(), release.claims());
    }

    @Test
    void sameKeyIsAnsweredFromMemory() {
        ask(1, KEY);
        read(0, List.of());
        on(new ClaimEvent.BucketWritten(BUCKET, 1));
        assertEquals(List.of(new ClaimAction.Denied(2, new Verdict.MayHaveRun(Reason.IN_PROGRESS))), ask(2, KEY));
        StoredAnswer answer = new StoredAnswer(200, "text/plain", new byte[] {1});
        on(new ClaimEvent.Finished(1, Optional.of(answer)));
        assertEquals(List.of(new ClaimAction.Replay(3, answer)), ask(3, KEY));
    }

    @Test
    void expiredClaimIsReplacedOnlyAfterTheMargin() {
        Claim old = new Claim(KEY, new ClaimHolder(8, 1), EPOCH - ClaimLedger.CLOCK_MARGIN.toMillis());
        ask(1, KEY);
        assertInstanceOf(
                ClaimAction.Denied.class,
                on(new ClaimEvent.BucketRead(BUCKET, 4, List.of(old))).getFirst());
        ask(2, SAME_BUCKET);
        Claim older = new Claim(KEY, new ClaimHolder(8, 1), EPOCH - ClaimLedger.CLOCK_MARGIN.toMillis() - 1);
        on(new ClaimEvent.BucketConflict(BUCKET));
        assertEquals(1, read(5, List.of(older)).claims().size());
    }

    private List<ClaimAction> ask(long attempt, KeyHash key) {
        return on(new ClaimEvent.Ask(attempt, key, 10 * SECOND));
    }

    private ClaimAction.Write read(long revision, List<Claim> claims) {
        return assertInstanceOf(
                ClaimAction.Write.class,
                on(new ClaimEvent.BucketRead(BUCKET, revision, claims)).getFirst());
    }

    private List<ClaimAction> on(ClaimEvent event) {
        return ledger.on(event, SECOND, EPOCH);
    }
}
