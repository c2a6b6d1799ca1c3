package org.citrontide.gateway.dispatch;

import java.time.Duration;

import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.gateway.upstream.UpstreamAttempt;
import org.citrontide.platform.PlatformHeaders;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;

/**
 * Writes the lines on requests, within a bound for each second.
 *
 * <p>Invariant: lines on what went wrong have a budget of their own, which lines on what went well can't use up. Not
 * thread-safe: owned by the event loop.
 */
final class RequestLog {
    private static final EventLog LOG = EventLog.of(RequestLog.class);
    // Ten times the requests of an ordinary second at one gateway; beyond it a sample tells as much.
    private static final int LINES_PER_SECOND = 100;

    private final LogRateLimiter ordinary = new LogRateLimiter(LINES_PER_SECOND);
    private final LogRateLimiter trouble = new LogRateLimiter(LINES_PER_SECOND);

    void refusedByFilter(CallerRequest r, long version, Verdict verdict) {
        if (trouble.tryAcquire(System.nanoTime())) {
            LOG.info("request-refused")
                    .with("id", id(r))
                    .with("target", r.target())
                    .with("configuration", version)
                    .with("verdict", verdict.headerValue())
                    .with("reason", Refusals.reason(verdict))
                    .write();
        }
    }

    void sent(OpenExchange e, UpstreamAttempt a, Duration remaining) {
        if (e.attempts > 1 && trouble.tryAcquire(System.nanoTime())) {
            LOG.info("attempt-repeated")
                    .with("id", id(e.caller))
                    .with("attempt", e.attempts)
                    .with("upstream", a.upstream().id())
                    .with("remaining-ms", remaining.toMillis())
                    .with(
                            "resume-after",
                            e.events.lastId().isPresent() ? e.events.lastId().getAsLong() : "none")
                    .write();
        }
    }

    void attemptEnded(OpenExchange e, UpstreamAttempt a, AttemptOutcome outcome) {
        if (!(outcome instanceof AttemptOutcome.Completed) && trouble.tryAcquire(System.nanoTime())) {
            LOG.info("attempt-failed")
                    .with("id", id(e.caller))
                    .with("service", e.request.service())
                    .with("upstream", a.upstream().id())
                    .with(
                            "status",
                            a.head().map(h -> Integer.toString(h.status())).orElse("none"))
                    .with("outcome", outcome)
                    .with("age-ms", ageMillis(e))
                    .write();
        }
    }

    void ended(OpenExchange e, String outcome, String reason, long version) {
        LogRateLimiter budget = outcome.equals("delivered") ? ordinary : trouble;
        if (!budget.tryAcquire(System.nanoTime())) {
            return;
        }
        long left = ordinary.getAndResetSuppressed() + trouble.getAndResetSuppressed();
        EventLog.Line line = LOG.info("request-ended")
                .with("id", id(e.caller))
                .with("route", e.request.route().name())
                .with("service", e.request.service())
                .with("team", e.request.team())
                .with("rank", e.request.rank())
                .with("upstream", e.attempt.map(a -> a.upstream().id()).orElse("none"))
                .with("attempts", e.attempts)
                .with(
                        "waited-ms",
                        e.waited.map(w -> Long.toString(w.toMillis())).orElse("none"))
                .with("configuration", version)
                .with("outcome", outcome)
                .with("reason", reason)
                .with("age-ms", ageMillis(e));
        if (left > 0) {
            line.with("lines-left-out", left);
        }
        line.write();
    }

    void groupNoted(GatewayAction.ReportGroupState n) {
        LOG.info(n.isDown() ? "group-down" : "group-works")
                .with("service", n.service())
                .with("waiting", n.waiting())
                .write();
    }

    void speedTold(String upstream, double before, double slowness) {
        LOG.info("upstream-speed")
                .with("upstream", upstream)
                .with("before", before)
                .with("slowness", slowness)
                .write();
    }

    private static String id(CallerRequest r) {
        String id = r.headers().get(PlatformHeaders.ATTEMPT_ID);
        return id == null ? "none" : id;
    }

    private static long ageMillis(OpenExchange e) {
        return Duration.ofNanos(System.nanoTime() - e.request.arrivedNanos()).toMillis();
    }
}
