package org.citrontide.gateway.dispatch;

import java.time.Duration;
import java.util.List;

import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.gateway.RetryBudgetState;
import org.citrontide.core.locality.EvacuationTracker;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.quarantine.PromptQuarantine;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.gateway.upstream.UpstreamAttempt;
import org.citrontide.platform.PlatformHeaders;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;

/**
 * Logs events of requests, with a limit on the number of lines per second.
 *
 * <p>Invariant: failures and successful requests have separate rate limits, so that log lines of successful requests
 * can't suppress those of failures. Not thread-safe: owned by the event loop.
 */
final class RequestLog {
    private static final EventLog LOG = EventLog.of(RequestLog.class);
    // Ten times the usual request rate of one gateway; above it, a sample is as informative.
    private static final int LINES_PER_SECOND = 100;
    // Bounds the length of a line.
    private static final int MAX_PARTS = 8;

    private final long startedNanos = System.nanoTime();
    private final LogRateLimiter successLimiter = new LogRateLimiter(LINES_PER_SECOND);
    private final LogRateLimiter failureLimiter = new LogRateLimiter(LINES_PER_SECOND);

    void logFilterRefusal(CallerRequest request, long version, Verdict verdict) {
        if (failureLimiter.tryAcquire(System.nanoTime())) {
            LOG.info("request-refused")
                    .with("id", attemptId(request))
                    .with("target", request.target())
                    .with("configuration", version)
                    .with("verdict", verdict.headerValue())
                    .with("reason", Refusals.reasonKey(verdict))
                    .write();
        }
    }

    void logRetry(OpenExchange exchange, UpstreamAttempt attempt, GatewayAction.SendAttempt send) {
        if (exchange.attempts <= 1 || !failureLimiter.tryAcquire(System.nanoTime())) {
            return;
        }
        EventLog.Line line = LOG.info("attempt-retried")
                .with("id", attemptId(exchange.caller))
                .with("service", exchange.request.service())
                .with("attempt", exchange.attempts)
                .with("upstream", attempt.upstream().id())
                .with("remaining-ms", send.remaining().toMillis())
                .with(
                        "resume-after",
                        exchange.eventMerger.lastEventId().isPresent()
                                ? exchange.eventMerger.lastEventId().getAsLong()
                                : "none");
        // An attempt whose upstream was unreachable is replaced without a retry.
        send.retry()
                .ifPresentOrElse(
                        retry -> addRetry(line, retry), () -> line.with("reason", Reason.UPSTREAM_UNREACHABLE.key()));
        line.write();
    }

    void logRetryDenied(OpenExchange exchange, GatewayAction.ReportRetryDenied denied) {
        if (failureLimiter.tryAcquire(System.nanoTime())) {
            EventLog.Line line = LOG.info("retry-denied")
                    .with("id", attemptId(exchange.caller))
                    .with("service", exchange.request.service());
            addRetry(line, denied.retry());
            line.write();
        }
    }

    private void addRetry(EventLog.Line line, GatewayAction.Retry retry) {
        RetryBudgetState budget = retry.budget();
        line.with("reason", retry.reason().key())
                .with("budget-requests", budget.requests())
                .with("budget-ratio-part", budget.ratioPart())
                .with("budget-slack-part", budget.slackPart())
                .with("budget-limit", budget.limit())
                .with("budget-spent", budget.spent())
                .with("gateways", budget.gateways())
                .with(
                        "process-age-ms",
                        Duration.ofNanos(System.nanoTime() - startedNanos).toMillis());
    }

    void logAttemptEnd(OpenExchange exchange, UpstreamAttempt attempt, AttemptOutcome outcome) {
        if (!(outcome instanceof AttemptOutcome.Completed) && failureLimiter.tryAcquire(System.nanoTime())) {
            LOG.info("attempt-failed")
                    .with("id", attemptId(exchange.caller))
                    .with("service", exchange.request.service())
                    .with("upstream", attempt.upstream().id())
                    .with("connection", attempt.connectionNumber())
                    .with("reused", attempt.isOnReusedConnection())
                    .with(
                            "status",
                            attempt.head()
                                    .map(head -> Integer.toString(head.status()))
                                    .orElse("none"))
                    .with("outcome", outcome)
                    .with("started", exchange.responseStarted)
                    .with("parts", joinParts(exchange.request.sharedParts()))
                    .with("age-ms", ageMillis(exchange))
                    .write();
        }
    }

    void logRequestEnd(OpenExchange exchange, String outcome, String reason, long version) {
        LogRateLimiter limiter = outcome.equals("delivered") ? successLimiter : failureLimiter;
        if (!limiter.tryAcquire(System.nanoTime())) {
            return;
        }
        long suppressed = successLimiter.getAndResetSuppressed() + failureLimiter.getAndResetSuppressed();
        EventLog.Line line = LOG.info("request-ended")
                .with("id", attemptId(exchange.caller))
                .with("route", exchange.request.route().name())
                .with("service", exchange.request.service())
                .with("team", exchange.request.team())
                .with("rank", exchange.request.rank())
                .with("upstream", exchange.attempt.map(a -> a.upstream().id()).orElse("none"))
                .with(
                        "connection",
                        exchange.attempt.map(UpstreamAttempt::connectionNumber).orElse(0L))
                .with(
                        "reused",
                        exchange.attempt
                                .map(UpstreamAttempt::isOnReusedConnection)
                                .orElse(false))
                .with("attempts", exchange.attempts)
                .with(
                        "waited-ms",
                        exchange.timeToFirstAttempt
                                .map(wait -> Long.toString(wait.toMillis()))
                                .orElse("none"))
                .with("configuration", version)
                .with("outcome", outcome)
                .with("reason", reason)
                .with("started", exchange.responseStarted)
                .with("parts", joinParts(exchange.request.sharedParts()))
                .with("age-ms", ageMillis(exchange));
        if (suppressed > 0) {
            line.with("lines-suppressed", suppressed);
        }
        line.write();
    }

    void logGroupState(GatewayAction.ReportGroupState change) {
        LOG.info(change.isDown() ? "group-down" : "group-recovered")
                .with("service", change.service())
                .with("waiting", change.waiting())
                .with(
                        "expected-ms",
                        change.expectedOutage()
                                .map(d -> Long.toString(d.toMillis()))
                                .orElse("none"))
                .write();
    }

    void logGroupAvailability(GatewayAction.ReportGroupAvailability change) {
        LOG.info(change.isAvailable() ? "group-available" : "group-unavailable")
                .with("group", change.group())
                .write();
    }

    void logCrash(CrashEvidence.Crash crash) {
        LOG.info("upstream-crashed")
                .with("upstream", crash.upstream())
                .with("prompts-lost", crash.prompts().size())
                .with(
                        "parts",
                        joinParts(crash.prompts().stream()
                                .flatMap(List::stream)
                                .distinct()
                                .toList()))
                .write();
    }

    void logQuarantine(PromptQuarantine.Decision decision) {
        LOG.info(decision.isQuarantined() ? "prompt-part-quarantined" : "prompt-part-released")
                .with("part", decision.part())
                .with("incidents", decision.incidents())
                .with("upstreams", decision.upstreams())
                .write();
    }

    void logRateLimit(GatewayAction.ReportRateLimit change) {
        LOG.info("upstream-limit")
                .with("upstream", change.upstream().id())
                .with(
                        "requests-per-second",
                        change.perSecond().isPresent() ? change.perSecond().getAsDouble() : "none")
                .write();
    }

    void logEvacuations(EvacuationTracker.Change change) {
        change.evacuated()
                .forEach(zone -> LOG.info("zone-evacuated").with("zone", zone).write());
        change.returned()
                .forEach(zone -> LOG.info("zone-returned").with("zone", zone).write());
    }

    void logMalformedRateLimit(ListedUpstream upstream, String value) {
        LOG.warn("upstream-limit-unusable")
                .with("upstream", upstream.id())
                .with("value", value)
                .write();
    }

    void logReadingChange(OpenExchange exchange, UpstreamAttempt attempt, boolean isReading) {
        if (failureLimiter.tryAcquire(System.nanoTime())) {
            LOG.info(isReading ? "response-resumed" : "response-paused")
                    .with("id", attemptId(exchange.caller))
                    .with("upstream", attempt.upstream().id())
                    .with("age-ms", ageMillis(exchange))
                    .write();
        }
    }

    void logSpeedChange(String upstream, double previous, double slowness) {
        LOG.info("upstream-speed")
                .with("upstream", upstream)
                .with("previous", previous)
                .with("slowness", slowness)
                .write();
    }

    private static String attemptId(CallerRequest request) {
        String id = request.headers().get(PlatformHeaders.ATTEMPT_ID);
        return id == null ? "none" : id;
    }

    private static String joinParts(List<String> parts) {
        return parts.isEmpty() ? "none" : String.join(",", parts.subList(0, Math.min(parts.size(), MAX_PARTS)));
    }

    private static long ageMillis(OpenExchange exchange) {
        return Duration.ofNanos(System.nanoTime() - exchange.request.arrivedNanos())
                .toMillis();
    }
}
