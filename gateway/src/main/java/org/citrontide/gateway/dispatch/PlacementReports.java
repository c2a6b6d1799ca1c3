package org.citrontide.gateway.dispatch;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.costing.PlacementReport;
import org.citrontide.runtime.log.EventLog;

/**
 * Logs why requests were placed where they were, and exports the expected and observed costs. Thread-safe.
 *
 * <p>Costs and work are in ms for a plain service and in passes for an engine.
 */
final class PlacementReports {
    private static final EventLog LOG = EventLog.of(PlacementReports.class);

    private final Gauge remainingWork;
    private final Counter expectedCost;
    private final Counter observedCost;

    PlacementReports(PrometheusRegistry registry) {
        remainingWork = Gauge.builder()
                .name("citrontide_gateway_remaining_work")
                .help("Expected cost of the requests in flight, in ms or, at engines, in passes")
                .labelNames("service")
                .register(registry);
        expectedCost = counter(registry, "citrontide_gateway_expected_cost", "Expected cost of the answered requests");
        observedCost = counter(registry, "citrontide_gateway_observed_cost", "Observed cost of the answered requests");
    }

    void report(PlacementReport r) {
        remainingWork.labelValues(r.service()).set(r.remainingWork());
        expectedCost.labelValues(r.service()).inc(r.expectedSum());
        observedCost.labelValues(r.service()).inc(r.observedSum());
        LOG.info("placement")
                .with("service", r.service())
                .with("route", r.route())
                .with("upstream", r.upstream())
                .with("expected-cost", format(r.expectedCost()))
                .with("in-flight", r.inFlight())
                .with("load", format(r.load()))
                .with("least-in-flight", r.leastInFlight())
                .with("least-in-flight-load", format(r.leastInFlightLoad()))
                .with("remaining-work", format(r.remainingWork()))
                .with("samples", r.samples())
                .with("sample-age-ms", r.sampleAgeMillis())
                .with("responses", r.responses())
                .with("expected-sum", format(r.expectedSum()))
                .with("observed-sum", format(r.observedSum()))
                .write();
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help) {
        return Counter.builder()
                .name(name)
                .help(help + " in ms or, at engines, in passes")
                .labelNames("service")
                .register(registry);
    }
}
