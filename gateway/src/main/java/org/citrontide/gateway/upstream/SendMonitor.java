package org.citrontide.gateway.upstream;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;

/**
 * Records how long attempts take from their decision until they are written, and which are given up with bytes that
 * their upstream may not have received.
 *
 * <p>Invariant: a log line is written only for a late attempt or one that was given up without a response, and only as
 * the rate limit permits. Not thread-safe: owned by the event loop.
 */
public final class SendMonitor {
    private static final EventLog LOG = EventLog.of(SendMonitor.class);
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};
    private static final double NANOS_PER_SECOND = 1e9;
    // Longer than a connection to another zone takes.
    private static final Duration LATE_WRITE = Duration.ofMillis(100);
    // A fifth of the lines on requests, so that a cut does not suppress those on their outcomes.
    private static final int LINES_PER_SECOND = 20;

    private final Histogram writeSeconds;
    private final Counter givenUp;
    private final LogRateLimiter limiter = new LogRateLimiter(LINES_PER_SECOND);

    /**
     * Registers the metrics.
     *
     * @param registry registry for the metrics
     */
    public SendMonitor(PrometheusRegistry registry) {
        writeSeconds = Histogram.builder()
                .name("citrontide_gateway_attempt_write_seconds")
                .help("Decision on an attempt to its complete write to the socket")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
        givenUp = Counter.builder()
                .name("citrontide_gateway_attempts_given_up")
                .help("Attempts cancelled before the end of their response")
                .labelNames("progress")
                .register(registry);
    }

    void recordWritten(UpstreamAttempt attempt, long nowNanos) {
        long delayNanos = nowNanos - attempt.decidedNanos();
        writeSeconds.observe(delayNanos / NANOS_PER_SECOND);
        if (delayNanos > LATE_WRITE.toNanos() && limiter.tryAcquire(nowNanos)) {
            LOG.info("attempt-written-late")
                    .with("upstream", attempt.upstream().id())
                    .with("id", attempt.attemptId())
                    .with("delay-ms", Duration.ofNanos(delayNanos).toMillis())
                    .with("lines-suppressed", limiter.getAndResetSuppressed())
                    .write();
        }
    }

    void recordGivenUp(UpstreamAttempt attempt, long nowNanos) {
        if (attempt.head().isPresent()) {
            givenUp.labelValues("answered").inc();
            return;
        }
        String progress = attempt.isWritten() ? "written" : "unwritten";
        givenUp.labelValues(progress).inc();
        if (limiter.tryAcquire(nowNanos)) {
            LOG.info("attempt-given-up")
                    .with("upstream", attempt.upstream().id())
                    .with("id", attempt.attemptId())
                    .with("progress", progress)
                    .with(
                            "age-ms",
                            Duration.ofNanos(nowNanos - attempt.decidedNanos()).toMillis())
                    .with("lines-suppressed", limiter.getAndResetSuppressed())
                    .write();
        }
    }
}
