package org.citrontide.gateway.dispatch;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of requests that arrive before the first configuration is in force. Thread-safe. */
final class StartupMetrics {
    private final Counter requests;

    StartupMetrics(PrometheusRegistry registry) {
        requests = Counter.builder()
                .name("citrontide_gateway_startup_requests")
                .help("Requests that arrived before the first configuration, by what became of them")
                .labelNames("outcome")
                .register(registry);
    }

    void recordEnd(String outcome) {
        requests.labelValues(outcome).inc();
    }
}
