package org.citrontide.gateway.upstream;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;

/**
 * Counts and logs bytes of upstreams that belong to no response, with a limit on the number of lines per second. Not
 * thread-safe: owned by the event loop.
 */
public final class ResponseFaults {
    private static final EventLog LOG = EventLog.of(ResponseFaults.class);
    // As many as for failed requests; above it, a sample is as informative.
    private static final int LINES_PER_SECOND = 100;

    private final LogRateLimiter limiter = new LogRateLimiter(LINES_PER_SECOND);
    private final Counter unexpectedBytes;
    private final Counter rejectedResponses;

    /**
     * Registers the counters.
     *
     * @param registry registry for the counters
     */
    public ResponseFaults(PrometheusRegistry registry) {
        unexpectedBytes = Counter.builder()
                .name("citrontide_gateway_unexpected_response_bytes")
                .help("Bytes of upstreams that arrived while no response was due")
                .labelNames("when")
                .register(registry);
        rejectedResponses = Counter.builder()
                .name("citrontide_gateway_rejected_responses")
                .help("Responses of upstreams that were not accepted as one response")
                .labelNames("reason")
                .register(registry);
    }

    void recordUnexpectedBytes(String upstream, long connection, int bytes, boolean isIdle, Duration idle) {
        String when = isIdle ? "idle" : "behind-response";
        unexpectedBytes.labelValues(when).inc(bytes);
        if (limiter.tryAcquire(System.nanoTime())) {
            LOG.warn("response-bytes-unexpected")
                    .with("upstream", upstream)
                    .with("connection", connection)
                    .with("bytes", bytes)
                    .with("when", when)
                    .with("idle-ms", idle.toMillis())
                    .write();
        }
    }

    void recordRejected(UpstreamAttempt attempt, String reason, boolean isRequestWritten) {
        rejectedResponses.labelValues(reason).inc();
        if (limiter.tryAcquire(System.nanoTime())) {
            LOG.warn("response-head-rejected")
                    .with("upstream", attempt.upstream().id())
                    .with("id", attempt.attemptId().isEmpty() ? "none" : attempt.attemptId())
                    .with("connection", attempt.connectionNumber())
                    .with("reused", attempt.isOnReusedConnection())
                    .with("reason", reason)
                    .with("request-written", isRequestWritten)
                    .write();
        }
    }
}
