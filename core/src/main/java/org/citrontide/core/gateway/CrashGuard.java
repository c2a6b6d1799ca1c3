package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.quarantine.CrashDetector;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.quarantine.PromptQuarantine;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Keeps the prompts that crash upstreams away from them: watches which prompts are answered and which are in flight
 * when an upstream crashes, and refuses those in quarantine.
 *
 * <p>Invariant: a request that may have crashed an upstream waits until the upstream has been checked, unless all parts
 * of its prompt are known to have been answered. Not thread-safe: confined to the dispatcher's thread.
 */
final class CrashGuard {
    // An upstream that crashes as it begins an answer does so before this time has passed.
    private static final Duration ANSWER_CONFIRMATION = Duration.ofMillis(200);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private final CrashDetector detector = new CrashDetector();
    private final PromptQuarantine quarantine = new PromptQuarantine();
    private long reportedNanos;

    /** Returns the refusal of a request whose prompt has a quarantined part. */
    Optional<Verdict.NotRun> findRefusal(GatewayRequest request, long nowNanos) {
        return quarantine
                .remaining(request.sharedParts(), nowNanos)
                .map(left -> new Verdict.NotRun(Reason.PROMPT_QUARANTINED, left));
    }

    /** Records a part of a response. */
    void recordProgress(
            GatewayRequest request, OpenGatewayRequest.Attempt attempt, long nowNanos, List<GatewayAction> actions) {
        if (attempt.isStarted && nowNanos - attempt.startedNanos >= ANSWER_CONFIRMATION.toNanos()) {
            recordAnswer(request, attempt, nowNanos, actions);
        }
    }

    /** Records that the upstream of an attempt has answered the prompt. */
    void recordAnswer(
            GatewayRequest request, OpenGatewayRequest.Attempt attempt, long nowNanos, List<GatewayAction> actions) {
        if (!attempt.isAnswered) {
            attempt.isAnswered = true;
            for (String part : quarantine.recordAnswer(request.sharedParts(), nowNanos)) {
                actions.add(new GatewayAction.PublishEvidence(new CrashEvidence.Answer(part, nowNanos)));
            }
        }
    }

    /**
     * Records a lost attempt, and has its upstream checked for a crash if the upstream had not answered.
     *
     * @return whether the request must wait for the result, since it may be the cause
     */
    boolean recordLoss(
            OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt, long nowNanos, List<GatewayAction> actions) {
        List<String> parts = open.request.sharedParts();
        if (attempt.isAnswered || parts.isEmpty()) {
            return false;
        }
        ListedUpstream upstream = attempt.upstream.entry();
        if (detector.recordLoss(upstream, parts, nowNanos)) {
            actions.add(new GatewayAction.CheckUpstream(upstream));
        }
        if (!open.request.route().isRetryable() || !quarantine.isUnproven(parts)) {
            return false;
        }
        open.awaitedCheck = Optional.of(upstream.instanceKey());
        return true;
    }

    /** Records the result of a check; returns whether the upstream crashed. */
    boolean recordCheck(GatewayEvent.UpstreamChecked check, List<GatewayAction> actions) {
        Optional<CrashEvidence.Crash> crash = detector.recordCheck(check.upstream(), check.isRefused());
        crash.ifPresent(c -> actions.add(new GatewayAction.PublishEvidence(c)));
        return crash.isPresent();
    }

    void replaceEvidence(GatewayEvent.CrashEvidenceUpdated evidence, long nowNanos, List<GatewayAction> actions) {
        quarantine.replaceEvidence(evidence.evidence(), nowNanos);
        reportDecisions(nowNanos, actions);
    }

    /** Reports the parts that entered or left quarantine, also as time passes. */
    void tick(long nowNanos, List<GatewayAction> actions) {
        if (nowNanos - reportedNanos >= REPORT_INTERVAL.toNanos()) {
            reportDecisions(nowNanos, actions);
        }
    }

    private void reportDecisions(long nowNanos, List<GatewayAction> actions) {
        reportedNanos = nowNanos;
        quarantine.pollDecisions(nowNanos).forEach(d -> actions.add(new GatewayAction.ReportQuarantine(d)));
    }
}
