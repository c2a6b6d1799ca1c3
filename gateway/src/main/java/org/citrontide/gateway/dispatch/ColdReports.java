package org.citrontide.gateway.dispatch;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.warmup.ColdChange;
import org.citrontide.runtime.log.EventLog;

/** Logs the changes of cold upstreams, and counts them and the requests that their limits hold back. Thread-safe. */
final class ColdReports {
    private static final EventLog LOG = EventLog.of(ColdReports.class);

    private final Gauge coldUpstreams;
    private final Counter heldBack;

    ColdReports(PrometheusRegistry registry) {
        coldUpstreams = Gauge.builder()
                .name("citrontide_gateway_cold_upstreams")
                .help("Upstreams that get the rate of a cold one")
                .labelNames("service")
                .register(registry);
        heldBack = Counter.builder()
                .name("citrontide_gateway_cold_held")
                .help("Requests that the limits of cold upstreams kept from being sent at once")
                .labelNames("service")
                .register(registry);
    }

    void reportCold(ColdChange change) {
        coldUpstreams.labelValues(change.upstream().service()).set(change.coldUpstreams());
        LOG.info("upstream-temperature")
                .with("upstream", change.upstream().id())
                .with("service", change.upstream().service())
                .with("phase", change.phase().name().toLowerCase(Locale.ROOT))
                .with("source", change.source().name().toLowerCase(Locale.ROOT))
                .with("source-age-ms", change.age().toMillis())
                .with("remaining-ms", change.remaining().toMillis())
                .with("cold-upstreams", change.coldUpstreams())
                .write();
    }

    void reportHeldBack(String service) {
        heldBack.labelValues(service).inc();
    }
}
