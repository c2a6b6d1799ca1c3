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
 * Lets a call that must not be repeated run at most once for each idempotency key, across all sidecars of a service.
 *
 * <p>A claim is inserted by compare-and-swap into a bucket value of the platform's service before the call goes out.
 * Claims that arrive while a write is outstanding share the next one. A lost answer is settled by reading back.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An attempt is granted only after its own claim was seen in the bucket, and no claim is removed while its
 *       call may have gone out, until the window and a margin for clock differences have passed.
 *   <li>A call goes out only before {@link #latestStart}: while the claim is younger than the window less the
 *       margin, on the monotonic clock from before the write was sent, and on the wall clock, which also passes while
 *       the whole VM is suspended.
 *   <li>An attempt denied as {@link Verdict.NotRun} is never granted later; a claim it left behind is released.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock.
 */
public final class ClaimLedger {
    /** Difference between two VMs' wall clocks, and slowness of a monotonic clock, that the ledger tolerates. */
    public static final Duration CLOCK_MARGIN = Duration.ofSeconds(20);

    private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration NO_WAIT = Duration.ZERO;
    private static final int ANSWER_MEMORY_BYTES = 4 * 1024 * 1024;

    private final long incarnation;
    private final Map<Integer, ClaimBucketState> buckets = new HashMap<>();
    private final Map<Long, PendingClaim> byAttempt = new LinkedHashMap<>();
    private final Map<KeyHash, PendingClaim> byKey = new HashMap<>();
    private final Set<ClaimHolder> neverSent = new HashSet<>();
    private final AnswerMemory answers = new AnswerMemory(ANSWER_MEMORY_BYTES);
    private Duration window;

    /**
     * Makes an empty ledger.
     *
     * @param incarnation random number drawn at the start of this process
     * @param window how long a key is remembered
     */
    public ClaimLedger(long incarnation, Duration window) {
        this.incarnation = incarnation;
        this.window = window;
    }

    /**
     * Takes a new window for claims made from now on.
     *
     * @param newWindow how long a key is remembered
     */
    public void configure(Duration newWindow) {
        window = newWindow;
    }

    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowNanos monotonic time in ns
     * @param epochMillis wall-clock time in ms since 1970
     * @return what the shell must do, in order
     */
    public List<ClaimAction> on(ClaimEvent event, long nowNanos, long epochMillis) {
        List<ClaimAction> out = new ArrayList<>();
        switch (event) {
            case ClaimEvent.Ask a -> ask(a, out);
            case ClaimEvent.NeverSent n -> neverSent(n.attempt());
            case ClaimEvent.Finished f -> finished(f);
            case ClaimEvent.BucketRead r -> read(r, nowNanos, out);
            case ClaimEvent.BucketWritten w -> written(w, nowNanos, out);
            case ClaimEvent.BucketConflict c -> conflict(bucket(c.bucket()));
            case ClaimEvent.BucketFailed f -> failed(f, out);
            case ClaimEvent.Tick t -> expireAsks(nowNanos, out);
        }
        buckets.values().forEach(b -> advance(b, nowNanos, epochMillis, out));
        return out;
    }

    /**
     * Says until when an attempt's call may go out.
     *
     * @param attempt number of the attempt
     * @return the latest moment by both clocks, or empty if it holds no claim
     */
    public Optional<LatestStart> latestStart(long attempt) {
        return Optional.ofNullable(byAttempt.get(attempt))
                .filter(p -> p.stage == PendingClaim.Stage.GRANTED)
                .map(p -> new LatestStart(
                        p.sinceNanos + p.window.minus(CLOCK_MARGIN).toNanos(),
                        p.expiresEpochMillis - CLOCK_MARGIN.toMillis()));
    }

    /**
     * Returns the earliest deadline of an attempt that waits for its claim.
     *
     * @return monotonic time in ns, {@link Long#MAX_VALUE} if there is none
     */
    public long nextDeadlineNanos() {
        return byAttempt.values().stream()
                .filter(p -> p.stage == PendingClaim.Stage.ASKED)
                .mapToLong(p -> p.deadlineNanos)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void ask(ClaimEvent.Ask a, List<ClaimAction> out) {
        Optional<StoredAnswer> answer = answers.find(a.key());
        if (answer.isPresent()) {
            out.add(new ClaimAction.Replay(a.attempt(), answer.get()));
            return;
        }
        if (byKey.containsKey(a.key())) {
            out.add(new ClaimAction.Denied(a.attempt(), new Verdict.MayHaveRun(Reason.IN_PROGRESS)));
            return;
        }
        PendingClaim p = new PendingClaim(a);
        byAttempt.put(p.attempt, p);
        byKey.put(p.key, p);
        bucket(p.key.bucket()).asks.add(p);
    }

    private void neverSent(long attempt) {
        PendingClaim p = byAttempt.get(attempt);
        if (p != null) {
            drop(p);
        }
    }

    /** Ends an attempt whose call did not go out; a claim that may exist is released. */
    private void drop(PendingClaim p) {
        p.stage = PendingClaim.Stage.DROPPED;
        byAttempt.remove(p.attempt);
        byKey.remove(p.key);
        ClaimBucketState b = bucket(p.key.bucket());
        b.asks.remove(p);
        if (p.written) {
            neverSent.add(holder(p));
            b.releases.add(holder(p));
        }
    }

    private void finished(ClaimEvent.Finished f) {
        PendingClaim p = byAttempt.remove(f.attempt());
        if (p == null) {
            return;
        }
        byKey.remove(p.key);
        f.answer().ifPresent(a -> answers.put(p.key, a));
    }

    private void read(ClaimEvent.BucketRead r, long nowNanos, List<ClaimAction> out) {
        ClaimBucketState b = bucket(r.bucket());
        b.call = ClaimBucketState.Call.NONE;
        ClaimBucketState.Known known = ClaimBucketState.Known.of(r.revision(), r.claims());
        b.known = Optional.of(known);
        for (PendingClaim p : List.copyOf(b.asks)) {
            Claim c = known.claims().get(p.key);
            if (p.written && c != null && c.holder().equals(holder(p))) {
                b.asks.remove(p);
                grant(p, nowNanos, out);
            }
        }
    }

    private void written(ClaimEvent.BucketWritten w, long nowNanos, List<ClaimAction> out) {
        ClaimBucketState b = bucket(w.bucket());
        b.call = ClaimBucketState.Call.NONE;
        b.known = Optional.of(ClaimBucketState.Known.of(w.revision(), b.writing));
        List<PendingClaim> inserted = b.inserting;
        neverSent.removeAll(b.releasing);
        b.clearWrite();
        for (PendingClaim p : inserted) {
            if (p.stage == PendingClaim.Stage.ASKED) {
                grant(p, nowNanos, out);
            }
        }
    }

    private void grant(PendingClaim p, long nowNanos, List<ClaimAction> out) {
        if (nowNanos >= p.deadlineNanos) {
            drop(p);
            out.add(denied(p, Reason.DEADLINE, NO_WAIT));
            return;
        }
        p.stage = PendingClaim.Stage.GRANTED;
        out.add(new ClaimAction.Granted(p.attempt));
    }

    private void conflict(ClaimBucketState b) {
        b.call = ClaimBucketState.Call.NONE;
        b.known = Optional.empty();
        takeBackWrite(b);
    }

    private void failed(ClaimEvent.BucketFailed f, List<ClaimAction> out) {
        ClaimBucketState b = bucket(f.bucket());
        boolean settle = b.call == ClaimBucketState.Call.WRITE && f.mayHaveTakenEffect();
        b.call = ClaimBucketState.Call.NONE;
        b.known = Optional.empty();
        takeBackWrite(b);
        if (settle) {
            return;
        }
        for (PendingClaim p : List.copyOf(b.asks)) {
            drop(p);
            out.add(denied(p, Reason.STORE_UNREACHABLE, STORE_RETRY_AFTER));
        }
        b.storeFailed = true;
    }

    private void expireAsks(long nowNanos, List<ClaimAction> out) {
        buckets.values().forEach(b -> b.storeFailed = false);
        for (PendingClaim p : List.copyOf(byAttempt.values())) {
            if (p.stage == PendingClaim.Stage.ASKED && nowNanos >= p.deadlineNanos) {
                drop(p);
                out.add(denied(p, Reason.DEADLINE, NO_WAIT));
            }
        }
    }

    private void takeBackWrite(ClaimBucketState b) {
        b.takeBackWrite();
        b.asks.removeIf(p -> p.stage != PendingClaim.Stage.ASKED);
    }

    /** Starts the next call of a bucket that has work and no call outstanding. */
    private void advance(ClaimBucketState b, long nowNanos, long epochMillis, List<ClaimAction> out) {
        if (b.call != ClaimBucketState.Call.NONE || !b.hasWork()) {
            return;
        }
        if (b.storeFailed && b.asks.isEmpty()) {
            return;
        }
        b.storeFailed = false;
        if (b.known.isEmpty()) {
            b.call = ClaimBucketState.Call.READ;
            out.add(new ClaimAction.Read(b.number));
            return;
        }
        startWrite(b, b.known.get(), nowNanos, epochMillis, out);
    }

    private void startWrite(
            ClaimBucketState b, ClaimBucketState.Known known, long nowNanos, long epochMillis, List<ClaimAction> out) {
        Map<KeyHash, Claim> next = new LinkedHashMap<>(known.claims());
        next.values().removeIf(c -> epochMillis > c.expiresEpochMillis() + CLOCK_MARGIN.toMillis());
        boolean released = next.values().removeIf(c -> b.releases.contains(c.holder()));
        if (!released) {
            neverSent.removeAll(b.releases);
            b.releases.clear();
        }
        List<PendingClaim> inserts = insertAsks(b, next, nowNanos, epochMillis, out);
        if (inserts.isEmpty() && !released) {
            return;
        }
        b.writing = List.copyOf(next.values());
        b.inserting = inserts;
        b.releasing = List.copyOf(b.releases);
        b.releases.clear();
        b.call = ClaimBucketState.Call.WRITE;
        out.add(new ClaimAction.Write(b.number, known.revision(), b.writing));
    }

    private List<PendingClaim> insertAsks(
            ClaimBucketState b, Map<KeyHash, Claim> next, long nowNanos, long epochMillis, List<ClaimAction> out) {
        List<PendingClaim> inserts = new ArrayList<>();
        for (PendingClaim p : b.asks) {
            Claim present = next.get(p.key);
            if (present != null && !neverSent.contains(present.holder())) {
                byAttempt.remove(p.attempt);
                byKey.remove(p.key);
                out.add(new ClaimAction.Denied(p.attempt, new Verdict.MayHaveRun(Reason.CLAIMED_BEFORE)));
                continue;
            }
            p.claim(window, nowNanos, epochMillis);
            next.put(p.key, new Claim(p.key, holder(p), p.expiresEpochMillis));
            inserts.add(p);
        }
        b.asks.clear();
        return inserts;
    }

    private ClaimBucketState bucket(int number) {
        return buckets.computeIfAbsent(number, ClaimBucketState::new);
    }

    private ClaimHolder holder(PendingClaim p) {
        return new ClaimHolder(incarnation, p.attempt);
    }

    private static ClaimAction denied(PendingClaim p, Reason reason, Duration retryAfter) {
        return new ClaimAction.Denied(p.attempt, new Verdict.NotRun(reason, retryAfter));
    }

    /**
     * The latest moment at which a call may go out. Immutable.
     *
     * @param nanos monotonic time in ns
     * @param epochMillis wall-clock time in ms since 1970
     */
    public record LatestStart(long nanos, long epochMillis) {}
}
