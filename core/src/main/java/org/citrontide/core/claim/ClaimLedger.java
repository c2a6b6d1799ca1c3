package org.citrontide.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Ensures that a non-repeatable call runs at most once per idempotency key, across all sidecars of a service.
 *
 * <p>Before the call is sent, a claim is inserted by compare-and-set into a bucket of the platform's store. Claims
 * requested while a write is outstanding are batched into the next one. After a write with an unknown outcome, the
 * bucket is read back.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An attempt is granted only after its own claim is known to be in the bucket. A claim whose call may have been
 *       sent is not removed until the window and a margin for clock differences have passed.
 *   <li>A call is sent only before {@link #latestStart}: while the claim is younger than the window less the margin, on
 *       the monotonic clock, counted from before the write was sent, and on the wall clock, which also advances while
 *       the whole VM is suspended.
 *   <li>An attempt denied as {@link Verdict.NotRun} is never granted later; a claim it may have stored is released.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock.
 */
public final class ClaimLedger {
    /** Tolerated difference between the wall clocks of two VMs, and tolerated lag of a monotonic clock. */
    public static final Duration CLOCK_MARGIN = Duration.ofSeconds(20);

    private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(5);
    private static final Duration NO_RETRY_DELAY = Duration.ZERO;
    private static final int RESPONSE_CACHE_BYTES = 4 * 1024 * 1024;

    private final long incarnation;
    private final Map<Integer, ClaimBucketState> buckets = new HashMap<>();
    private final Map<Long, PendingClaim> byAttempt = new LinkedHashMap<>();
    private final Map<KeyHash, PendingClaim> byKey = new HashMap<>();
    private final Set<ClaimHolder> unsentHolders = new HashSet<>();
    private final ResponseCache responses = new ResponseCache(RESPONSE_CACHE_BYTES);
    private Duration window;

    /**
     * Creates an empty ledger.
     *
     * @param incarnation random number drawn at the start of this process
     * @param window time for which a key stays claimed
     */
    public ClaimLedger(long incarnation, Duration window) {
        this.incarnation = incarnation;
        this.window = window;
    }

    /**
     * Sets the window of claims that are first written from now on; claims written before keep theirs.
     *
     * @param newWindow time for which a key stays claimed
     */
    public void configure(Duration newWindow) {
        window = newWindow;
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @param epochMillis wall-clock time in ms since 1970
     * @return the actions that the caller must perform, in order
     */
    public List<ClaimAction> handle(ClaimEvent event, long nowNanos, long epochMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        switch (event) {
            case ClaimEvent.ClaimRequested r -> requestClaim(r, actions);
            case ClaimEvent.CallNotSent n -> handleCallNotSent(n.attempt());
            case ClaimEvent.CallFinished f -> handleCallFinished(f);
            case ClaimEvent.BucketRead r -> handleBucketRead(r, nowNanos, actions);
            case ClaimEvent.BucketWritten w -> handleBucketWritten(w, nowNanos, actions);
            case ClaimEvent.BucketConflict c -> handleBucketConflict(bucket(c.bucket()));
            case ClaimEvent.BucketFailed f -> handleBucketFailed(f, actions);
            case ClaimEvent.Tick t -> expireRequests(nowNanos, actions);
        }
        buckets.values().forEach(bucket -> startNextCall(bucket, nowNanos, epochMillis, actions));
        return actions;
    }

    /**
     * Returns the latest time at which the attempt's call may be sent.
     *
     * @param attempt number of the attempt
     * @return the latest time on both clocks, or empty if the attempt holds no claim
     */
    public Optional<LatestStart> latestStart(long attempt) {
        return Optional.ofNullable(byAttempt.get(attempt))
                .filter(pending -> pending.stage == PendingClaim.Stage.GRANTED)
                .map(pending -> new LatestStart(
                        pending.sinceNanos + pending.window.minus(CLOCK_MARGIN).toNanos(),
                        pending.expiresEpochMillis - CLOCK_MARGIN.toMillis()));
    }

    /**
     * Returns the earliest deadline of the attempts that wait for a claim.
     *
     * @return monotonic time in ns, {@link Long#MAX_VALUE} if there is none
     */
    public long nextDeadlineNanos() {
        return byAttempt.values().stream()
                .filter(pending -> pending.stage == PendingClaim.Stage.REQUESTED)
                .mapToLong(pending -> pending.deadlineNanos)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void requestClaim(ClaimEvent.ClaimRequested event, List<ClaimAction> actions) {
        Optional<StoredResponse> response = responses.find(event.key());
        if (response.isPresent()) {
            actions.add(new ClaimAction.ReplayResponse(event.attempt(), response.get()));
            return;
        }
        if (byKey.containsKey(event.key())) {
            actions.add(new ClaimAction.DenyClaim(event.attempt(), new Verdict.MayHaveRun(Reason.IN_PROGRESS)));
            return;
        }
        PendingClaim pending = new PendingClaim(event);
        byAttempt.put(pending.attempt, pending);
        byKey.put(pending.key, pending);
        bucket(pending.key.bucket()).requests.add(pending);
    }

    private void handleCallNotSent(long attempt) {
        PendingClaim pending = byAttempt.get(attempt);
        if (pending != null) {
            abandon(pending);
        }
    }

    /** Ends an attempt whose call was not sent, and releases its claim if that may be stored. */
    private void abandon(PendingClaim pending) {
        pending.stage = PendingClaim.Stage.ABANDONED;
        byAttempt.remove(pending.attempt);
        byKey.remove(pending.key);
        ClaimBucketState bucket = bucket(pending.key.bucket());
        bucket.requests.remove(pending);
        if (pending.isWriteSent) {
            unsentHolders.add(holder(pending));
            bucket.releases.add(holder(pending));
        }
    }

    private void handleCallFinished(ClaimEvent.CallFinished event) {
        PendingClaim pending = byAttempt.remove(event.attempt());
        if (pending == null) {
            return;
        }
        byKey.remove(pending.key);
        event.response().ifPresent(r -> responses.put(pending.key, r));
    }

    private void handleBucketRead(ClaimEvent.BucketRead event, long nowNanos, List<ClaimAction> actions) {
        ClaimBucketState bucket = bucket(event.bucket());
        bucket.outstandingCall = ClaimBucketState.Call.NONE;
        ClaimBucketState.Snapshot snapshot = ClaimBucketState.Snapshot.of(event.revision(), event.claims());
        bucket.snapshot = Optional.of(snapshot);
        for (PendingClaim pending : List.copyOf(bucket.requests)) {
            Claim stored = snapshot.claims().get(pending.key);
            if (pending.isWriteSent && stored != null && stored.holder().equals(holder(pending))) {
                bucket.requests.remove(pending);
                grant(pending, nowNanos, actions);
            }
        }
    }

    private void handleBucketWritten(ClaimEvent.BucketWritten event, long nowNanos, List<ClaimAction> actions) {
        ClaimBucketState bucket = bucket(event.bucket());
        bucket.outstandingCall = ClaimBucketState.Call.NONE;
        bucket.snapshot = Optional.of(ClaimBucketState.Snapshot.of(event.revision(), bucket.writtenClaims));
        List<PendingClaim> inserted = bucket.writtenRequests;
        unsentHolders.removeAll(bucket.writtenReleases);
        bucket.clearWrite();
        for (PendingClaim pending : inserted) {
            if (pending.stage == PendingClaim.Stage.REQUESTED) {
                grant(pending, nowNanos, actions);
            }
        }
    }

    private void grant(PendingClaim pending, long nowNanos, List<ClaimAction> actions) {
        if (nowNanos >= pending.deadlineNanos) {
            abandon(pending);
            actions.add(denied(pending, Reason.DEADLINE, NO_RETRY_DELAY));
            return;
        }
        pending.stage = PendingClaim.Stage.GRANTED;
        actions.add(new ClaimAction.GrantClaim(pending.attempt));
    }

    private void handleBucketConflict(ClaimBucketState bucket) {
        bucket.outstandingCall = ClaimBucketState.Call.NONE;
        bucket.snapshot = Optional.empty();
        requeueWrite(bucket);
    }

    private void handleBucketFailed(ClaimEvent.BucketFailed event, List<ClaimAction> actions) {
        ClaimBucketState bucket = bucket(event.bucket());
        boolean isOutcomeUnknown = bucket.outstandingCall == ClaimBucketState.Call.WRITE && event.mayHaveTakenEffect();
        bucket.outstandingCall = ClaimBucketState.Call.NONE;
        bucket.snapshot = Optional.empty();
        requeueWrite(bucket);
        if (isOutcomeUnknown) {
            return;
        }
        for (PendingClaim pending : List.copyOf(bucket.requests)) {
            abandon(pending);
            actions.add(denied(pending, Reason.STORE_UNREACHABLE, STORE_RETRY_DELAY));
        }
        bucket.hasStoreFailed = true;
    }

    private void expireRequests(long nowNanos, List<ClaimAction> actions) {
        buckets.values().forEach(bucket -> bucket.hasStoreFailed = false);
        for (PendingClaim pending : List.copyOf(byAttempt.values())) {
            if (pending.stage == PendingClaim.Stage.REQUESTED && nowNanos >= pending.deadlineNanos) {
                abandon(pending);
                actions.add(denied(pending, Reason.DEADLINE, NO_RETRY_DELAY));
            }
        }
    }

    private void requeueWrite(ClaimBucketState bucket) {
        bucket.requeueWrite();
        bucket.requests.removeIf(pending -> pending.stage != PendingClaim.Stage.REQUESTED);
    }

    /** Starts the next call of a bucket that has pending changes and no outstanding call. */
    private void startNextCall(ClaimBucketState bucket, long nowNanos, long epochMillis, List<ClaimAction> actions) {
        if (bucket.outstandingCall != ClaimBucketState.Call.NONE || !bucket.hasPendingChanges()) {
            return;
        }
        if (bucket.hasStoreFailed && bucket.requests.isEmpty()) {
            return;
        }
        bucket.hasStoreFailed = false;
        if (bucket.snapshot.isEmpty()) {
            bucket.outstandingCall = ClaimBucketState.Call.READ;
            actions.add(new ClaimAction.ReadBucket(bucket.number));
            return;
        }
        startWrite(bucket, bucket.snapshot.get(), nowNanos, epochMillis, actions);
    }

    private void startWrite(
            ClaimBucketState bucket,
            ClaimBucketState.Snapshot snapshot,
            long nowNanos,
            long epochMillis,
            List<ClaimAction> actions) {
        Map<KeyHash, Claim> next = new LinkedHashMap<>(snapshot.claims());
        next.values().removeIf(c -> epochMillis > c.expiresEpochMillis() + CLOCK_MARGIN.toMillis());
        boolean released = next.values().removeIf(c -> bucket.releases.contains(c.holder()));
        if (!released) {
            unsentHolders.removeAll(bucket.releases);
            bucket.releases.clear();
        }
        List<PendingClaim> inserts = insertClaims(bucket, next, nowNanos, epochMillis, actions);
        if (inserts.isEmpty() && !released) {
            return;
        }
        bucket.writtenClaims = List.copyOf(next.values());
        bucket.writtenRequests = inserts;
        bucket.writtenReleases = List.copyOf(bucket.releases);
        bucket.releases.clear();
        bucket.outstandingCall = ClaimBucketState.Call.WRITE;
        actions.add(new ClaimAction.WriteBucket(bucket.number, snapshot.revision(), bucket.writtenClaims));
    }

    private List<PendingClaim> insertClaims(
            ClaimBucketState bucket,
            Map<KeyHash, Claim> next,
            long nowNanos,
            long epochMillis,
            List<ClaimAction> actions) {
        List<PendingClaim> inserts = new ArrayList<>();
        for (PendingClaim pending : bucket.requests) {
            Claim present = next.get(pending.key);
            if (present != null && !unsentHolders.contains(present.holder())) {
                byAttempt.remove(pending.attempt);
                byKey.remove(pending.key);
                actions.add(new ClaimAction.DenyClaim(pending.attempt, new Verdict.MayHaveRun(Reason.CLAIMED_BEFORE)));
                continue;
            }
            pending.startWindow(window, nowNanos, epochMillis);
            next.put(pending.key, new Claim(pending.key, holder(pending), pending.expiresEpochMillis));
            inserts.add(pending);
        }
        bucket.requests.clear();
        return inserts;
    }

    private ClaimBucketState bucket(int number) {
        return buckets.computeIfAbsent(number, ClaimBucketState::new);
    }

    private ClaimHolder holder(PendingClaim pending) {
        return new ClaimHolder(incarnation, pending.attempt);
    }

    private static ClaimAction denied(PendingClaim pending, Reason reason, Duration retryAfter) {
        return new ClaimAction.DenyClaim(pending.attempt, new Verdict.NotRun(reason, retryAfter));
    }

    /**
     * The latest time at which a call may be sent. Immutable.
     *
     * @param nanos monotonic time in ns
     * @param epochMillis wall-clock time in ms since 1970
     */
    public record LatestStart(long nanos, long epochMillis) {}
}
