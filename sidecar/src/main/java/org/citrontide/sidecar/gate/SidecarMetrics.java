package org.citrontide.sidecar.gate;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.runtime.metrics.TeamLabels;

/** The metrics of a sidecar. Thread-safe. */
public final class SidecarMetrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.005, 0.025, 0.1, 0.5, 1, 1.8, 5, 10, 30, 60, 300, 3600
    };
    private static final double NANOS_PER_SECOND = 1e9;

    private final TeamLabels teams;
    private final Histogram attemptSeconds;
    private final Counter verdicts;
    private final Counter storeCalls;
    private final Gauge running;
    private final Gauge waiting;

    /**
     * Registers the metrics.
     *
     * @param registry registry that receives the metrics
     * @param maxTeams maximum number of teams that have their own label value
     */
    public SidecarMetrics(PrometheusRegistry registry, int maxTeams) {
        teams = new TeamLabels(maxTeams);
        attemptSeconds = Histogram.builder()
                .name("citrontide_attempt_seconds")
                .help("Time from an attempt's arrival to its end")
                .labelNames("team", "urgency")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
        verdicts = Counter.builder()
                .name("citrontide_attempt_verdicts")
                .help("Attempts by outcome")
                .labelNames("verdict")
                .register(registry);
        storeCalls = Counter.builder()
                .name("citrontide_claim_store_calls")
                .help("Calls to the platform's service for claims")
                .labelNames("kind")
                .register(registry);
        running = Gauge.builder()
                .name("citrontide_running")
                .help("Attempts that hold a slot")
                .register(registry);
        waiting = Gauge.builder()
                .name("citrontide_waiting")
                .help("Attempts in the queue")
                .register(registry);
    }

    void recordAttempt(String team, Urgency urgency, Verdict verdict, Duration duration) {
        attemptSeconds
                .labelValues(teams.label(team), urgency.externalName())
                .observe(duration.toNanos() / NANOS_PER_SECOND);
        verdicts.labelValues(verdict.headerValue()).inc();
    }

    void countStoreCall(String kind) {
        storeCalls.labelValues(kind).inc();
    }

    void updateGauges(SidecarReport report) {
        running.set(report.running());
        waiting.set(report.waiting());
    }
}
