package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.costing.PendingWork;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * A request without a final outcome.
 *
 * <p>Invariant: at most one attempt is in flight. Not thread-safe.
 */
final class OpenGatewayRequest {

    /** An attempt in flight. */
    static final class Attempt {
        final long number;
        final UpstreamState upstream;
        final long sentNanos;
        long progressNanos;

        /** Whether the attempt has delivered a part of the response. */
        boolean isStarted;

        /** Time of the first part of the response, undefined before it is started. */
        long startedNanos;

        /** Whether the upstream has answered for long enough not to crash on the prompt. */
        boolean isAnswered;

        /** Whether the attempt counts towards the limit on late requests whose response has not started. */
        boolean isLatePending;

        /** Whether the response is not read because its caller is slow, so that silence is not the upstream's. */
        private boolean isPaused;

        Attempt(long number, UpstreamState upstream, long sentNanos) {
            this.number = number;
            this.upstream = upstream;
            this.sentNanos = sentNanos;
            this.progressNanos = sentNanos;
        }

        void setPaused(boolean paused, long nowNanos) {
            isPaused = paused;
            progressNanos = nowNanos;
        }

        boolean isPaused() {
            return isPaused;
        }
    }

    final GatewayRequest request;
    final Set<String> triedIds = new HashSet<>();
    Optional<Attempt> attempt = Optional.empty();

    /** Work of the last attempt, empty before the first. */
    Optional<PendingWork> work = Optional.empty();

    /** Number of attempts, without those whose upstream was unreachable. */
    int attemptCount;

    /** The last retry that the budget allowed, until its attempt is sent. */
    Optional<GatewayAction.Retry> pendingRetry = Optional.empty();

    /** Whether it was reported that the budget denied a retry. */
    boolean isDenialReported;

    /** Whether the limits of cold upstreams hold, or held, the request back; doesn't change while it is queued. */
    boolean isHeldBack;

    /** Whether the request precedes others in the queue, because its caller returns in an outage. */
    boolean isPreferred;

    /** Time in ns before which no upstream accepts the request, although some may accept others of its service. */
    long notBeforeNanos = Long.MIN_VALUE;

    /** Reason why an earlier attempt may have run, empty if none may have. */
    Optional<Reason> mayHaveRunReason = Optional.empty();

    /** Instance key of the upstream whose check for a crash the request waits for, empty if it waits for none. */
    Optional<String> awaitedCheck = Optional.empty();

    /** Whether the head of the response has been sent to the caller. */
    boolean isResponseStarted;

    OpenGatewayRequest(GatewayRequest request) {
        this.request = request;
    }

    /** Returns the action that sends the attempt in flight. */
    GatewayAction.SendAttempt sendAction(Duration remaining, long nowNanos) {
        Attempt sent = attempt.orElseThrow();
        Optional<GatewayAction.Retry> retry = pendingRetry;
        pendingRetry = Optional.empty();
        return new GatewayAction.SendAttempt(
                request, sent.number, sent.upstream.entry(), remaining, request.admissionRank(nowNanos), retry);
    }

    /** Returns the verdict, or one that says so if an earlier attempt may have run. */
    private Verdict finalVerdict(Verdict.NotRun notRun) {
        if (mayHaveRunReason.isEmpty()) {
            return notRun;
        }
        return new Verdict.MayHaveRun(notRun.reason() == Reason.DEADLINE ? Reason.DEADLINE : mayHaveRunReason.get());
    }

    /** Returns the action that ends the request with the given verdict, or one that says that it may have run. */
    GatewayAction endAction(Verdict.NotRun notRun) {
        Verdict verdict = finalVerdict(notRun);
        return isResponseStarted
                ? new GatewayAction.AbortResponse(request.id(), verdict)
                : new GatewayAction.RefuseRequest(request.id(), verdict);
    }

    /** Returns the outcome, or that the response is broken if it doesn't continue the one that has started. */
    AttemptOutcome effectiveOutcome(Attempt ended, AttemptOutcome outcome) {
        boolean continuesResponse = outcome instanceof AttemptOutcome.Completed c && c.isSuccess() && ended.isStarted;
        return isResponseStarted && outcome instanceof AttemptOutcome.Completed && !continuesResponse
                ? new AttemptOutcome.Broken(Reason.ANSWER_BROKEN)
                : outcome;
    }
}
