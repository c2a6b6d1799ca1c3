package org.citrontide.gateway.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.gateway.RetryBudgetState;
import org.citrontide.gateway.upstream.SendMonitor;
import org.citrontide.runtime.eventloop.GuardedTask;
import org.citrontide.runtime.metrics.TeamLabels;

/** The metrics of a gateway. Thread-safe. */
public final class GatewayMetrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};
    private static final double NANOS_PER_SECOND = 1e9;
    // Counting the requests of a window on each tick would cost more than the gauges are worth.
    private static final Duration BUDGET_INTERVAL = Duration.ofSeconds(1);

    private final TeamLabels teams;
    private final Histogram requestSeconds;
    private final Histogram firstByteSeconds;
    private final Counter outcomes;
    private final Counter attempts;
    private final Counter retries;
    private final Counter retriesDenied;
    private final Gauge retryLimitGauge;
    private final Gauge retriesSpentGauge;
    private final Gauge expectedOutageGauge;
    private final Gauge openRequestsGauge;
    private final Gauge versionGauge;
    private final Gauge responseBytesGauge;
    private final Gauge evacuatedZonesGauge;
    private final StartupMetrics startupMetrics;
    private final SendMonitor sendMonitor;
    private final ColdReports coldReports;
    private final BackoffReports backoffReports;
    private final PlacementReports placementReports;

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
        retries = retryCounter(registry, "citrontide_gateway_retries", "Retries sent to upstreams");
        retriesDenied =
                retryCounter(registry, "citrontide_gateway_retries_denied", "Requests whose retry the budget denied");
        retryLimitGauge = serviceGauge(
                registry, "citrontide_gateway_retry_limit", "Retries that the budget allows in the present window");
        retriesSpentGauge = serviceGauge(registry, "citrontide_gateway_retries_spent", "Retries of the present window");
        expectedOutageGauge = serviceGauge(
                registry,
                "citrontide_gateway_expected_outage_seconds",
                "Expected duration of the present outage of the group, 0 without an outage or an estimate");
        openRequestsGauge = gauge(registry, "citrontide_gateway_open_requests", "Requests without a final answer");
        versionGauge = gauge(registry, "citrontide_gateway_configuration_version", "Version in force");
        responseBytesGauge =
                gauge(registry, "citrontide_gateway_response_bytes", "Memory for incomplete responses in bytes");
        evacuatedZonesGauge =
                gauge(registry, "citrontide_gateway_evacuated_zones", "Zones whose upstreams get no requests by order");
        startupMetrics = new StartupMetrics(registry);
        sendMonitor = new SendMonitor(registry);
        coldReports = new ColdReports(registry);
        backoffReports = new BackoffReports(registry);
        placementReports = new PlacementReports(registry);
    }

    BackoffReports backoffReports() {
        return backoffReports;
    }

    ColdReports coldReports() {
        return coldReports;
    }

    PlacementReports placementReports() {
        return placementReports;
    }

    SendMonitor sendMonitor() {
        return sendMonitor;
    }

    StartupMetrics startupMetrics() {
        return startupMetrics;
    }

    void recordFirstByte(String team, int rank, long nanos) {
        firstByteSeconds.labelValues(teams.label(team), Integer.toString(rank)).observe(nanos / NANOS_PER_SECOND);
    }

    void recordRequestEnd(String service, String team, int rank, String outcome, String reason, long nanos) {
        requestSeconds.labelValues(teams.label(team), Integer.toString(rank)).observe(nanos / NANOS_PER_SECOND);
        outcomes.labelValues(service, outcome, reason).inc();
    }

    void recordAttempt(GatewayAction.SendAttempt send) {
        String service = send.request().service();
        attempts.labelValues(service).inc();
        send.retry()
                .ifPresent(r -> retries.labelValues(service, r.reason().key()).inc());
    }

    void recordRetryDenied(GatewayAction.ReportRetryDenied denied) {
        retriesDenied
                .labelValues(denied.request().service(), denied.retry().reason().key())
                .inc();
    }

    /** Starts to update the gauges of the retry budgets on an event loop. */
    void scheduleRetryBudgets(EventLoop loop, Supplier<Map<String, RetryBudgetState>> budgets) {
        Runnable update = new GuardedTask("retry-budget-metrics", () -> recordRetryBudgets(budgets.get()));
        loop.scheduleAtFixedRate(update, BUDGET_INTERVAL.toMillis(), BUDGET_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void recordRetryBudgets(Map<String, RetryBudgetState> budgets) {
        budgets.forEach((service, state) -> {
            retryLimitGauge.labelValues(service).set(state.limit());
            retriesSpentGauge.labelValues(service).set(state.spent());
        });
    }

    void recordGroupState(GatewayAction.ReportGroupState change) {
        double seconds = change.expectedOutage().map(Duration::toNanos).orElse(0L) / NANOS_PER_SECOND;
        expectedOutageGauge.labelValues(change.service()).set(seconds);
    }

    void recordState(int openRequests, long configurationVersion, long responseBytes) {
        openRequestsGauge.set(openRequests);
        responseBytesGauge.set(responseBytes);
        versionGauge.set(configurationVersion);
    }

    void recordEvacuatedZones(int zones) {
        evacuatedZonesGauge.set(zones);
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

    private static Counter retryCounter(PrometheusRegistry registry, String name, String help) {
        return Counter.builder()
                .name(name)
                .help(help)
                .labelNames("service", "reason")
                .register(registry);
    }

    private static Gauge serviceGauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).labelNames("service").register(registry);
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }
}
