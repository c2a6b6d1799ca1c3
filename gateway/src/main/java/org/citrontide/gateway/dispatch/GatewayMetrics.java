package org.citrontide.gateway.dispatch;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.runtime.metrics.TeamLabels;

/** The metrics of a gateway. Thread-safe. */
public final class GatewayMetrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};
    private static final double NANOS_PER_SECOND = 1e9;

    private final TeamLabels teams;
    private final Histogram requestSeconds;
    private final Histogram firstByteSeconds;
    private final Counter outcomes;
    private final Counter attempts;
    private final Gauge openRequestsGauge;
    private final Gauge versionGauge;
    private final Gauge responseBytesGauge;

    /**
     * Registers the metrics.
     *
     * @param registry registry for the metrics
     * @param maxTeams maximum number of teams with a label value of their own
     */
    public GatewayMetrics(PrometheusRegistry registry, int maxTeams) {
        teams = new TeamLabels(maxTeams);
        requestSeconds = histogram(registry, "citrontide_gateway_request_seconds", "Arrival to the end of the answer");
        firstByteSeconds = histogram(registry, "citrontide_gateway_first_byte_seconds", "Arrival to the first byte");
        outcomes = Counter.builder()
                .name("citrontide_gateway_outcomes")
                .help("Requests by outcome")
                .labelNames("service", "outcome", "reason")
                .register(registry);
        attempts = Counter.builder()
                .name("citrontide_gateway_attempts")
                .help("Attempts sent to upstreams")
                .labelNames("service")
                .register(registry);
        openRequestsGauge = gauge(registry, "citrontide_gateway_open_requests", "Requests without a final answer");
        versionGauge = gauge(registry, "citrontide_gateway_configuration_version", "Version in force");
        responseBytesGauge =
                gauge(registry, "citrontide_gateway_response_bytes", "Memory for incomplete responses in bytes");
    }

    void recordFirstByte(String team, int rank, long nanos) {
        firstByteSeconds.labelValues(teams.label(team), Integer.toString(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void recordRequestEnd(String service, String team, int rank, String outcome, String reason, long nanos) {
        requestSeconds.labelValues(teams.label(team), Integer.toString(rank)).observe(nanos / NANOS_PER_SECOND);
        outcomes.labelValues(service, outcome, reason).inc();
    }

    void recordAttempt(String service) {
        attempts.labelValues(service).inc();
    }

    void recordState(int openRequests, long configurationVersion, long responseBytes) {
        openRequestsGauge.set(openRequests);
        responseBytesGauge.set(responseBytes);
        versionGauge.set(configurationVersion);
    }

    private static Histogram histogram(PrometheusRegistry registry, String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("team", "rank")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }
}
