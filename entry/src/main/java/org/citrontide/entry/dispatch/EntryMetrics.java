package org.citrontide.entry.dispatch;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.runtime.metrics.TeamLabels;

/** The metrics of an entry. Thread-safe. */
public final class EntryMetrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.5, 5, 10, 30, 60, 300, 3600
    };
    private static final double NANOS_PER_SECOND = 1e9;

    private final TeamLabels teams;
    private final Histogram requestSeconds;
    private final Counter verdicts;
    private final Gauge openRequests;
    private final Gauge retries;
    private final Gauge droppedFrames;
    private final Gauge configurationVersion;

    /**
     * Registers the metrics.
     *
     * @param registry registry that receives the metrics
     * @param maxTeams maximum number of teams that have their own label value
     */
    public EntryMetrics(PrometheusRegistry registry, int maxTeams) {
        teams = new TeamLabels(maxTeams);
        requestSeconds = Histogram.builder()
                .name("citrontide_request_seconds")
                .help("Time from arrival to the end of the answer")
                .labelNames("team", "urgency")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
        verdicts = Counter.builder()
                .name("citrontide_verdicts")
                .help("Requests by outcome")
                .labelNames("service", "urgency", "verdict", "reason")
                .register(registry);
        openRequests = gauge(registry, "citrontide_open_requests", "Requests without a final answer");
        retries = gauge(registry, "citrontide_retries", "Attempts after the first since the start");
        droppedFrames = gauge(registry, "citrontide_dropped_frames", "Frames of unknown attempts since the start");
        configurationVersion = gauge(registry, "citrontide_configuration_version", "Version in force");
    }

    void recordRequest(String service, String team, Urgency urgency, Verdict verdict, Duration duration) {
        requestSeconds
                .labelValues(teams.label(team), urgency.externalName())
                .observe(duration.toNanos() / NANOS_PER_SECOND);
        verdicts.labelValues(service, urgency.externalName(), verdict.headerValue(), reasonLabel(verdict))
                .inc();
    }

    void updateGauges(int openCount, long retryCount, long droppedCount, long version) {
        openRequests.set(openCount);
        retries.set(retryCount);
        droppedFrames.set(droppedCount);
        configurationVersion.set(version);
    }

    static String reasonLabel(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c -> "none";
            case Verdict.NotRun n -> n.reason().key();
            case Verdict.MayHaveRun m -> m.reason().key();
        };
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }
}
