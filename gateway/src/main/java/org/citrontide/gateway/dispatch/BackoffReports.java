package org.citrontide.gateway.dispatch;

import java.util.HashSet;
import java.util.Set;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.runtime.log.EventLog;

/** Logs and counts the upstreams that ask to be left alone. Not thread-safe: confined to the event loop. */
final class BackoffReports {
    private static final EventLog LOG = EventLog.of(BackoffReports.class);
    // Bounds the memory of the instances whose values were logged.
    private static final int MAX_LOGGED = 1000;

    private final Counter backoffs;
    private final Set<String> loggedInstances = new HashSet<>();

    BackoffReports(PrometheusRegistry registry) {
        backoffs = Counter.builder()
                .name("citrontide_gateway_backoffs")
                .help("Times that an upstream asked to be left alone, or for longer than before")
                .labelNames("service")
                .register(registry);
    }

    void report(GatewayAction.ReportBackoff backoff) {
        backoffs.labelValues(backoff.upstream().service()).inc();
        LOG.info("upstream-backoff")
                .with("upstream", backoff.upstream().id())
                .with("service", backoff.upstream().service())
                .with("ms", backoff.duration().toMillis())
                .write();
    }

    /** Logs the first time of an instance that can't be read; such a time is ignored. */
    void reportMalformed(ListedUpstream upstream, String value) {
        if (loggedInstances.size() < MAX_LOGGED && loggedInstances.add(upstream.instanceKey())) {
            LOG.warn("upstream-backoff-unusable")
                    .with("upstream", upstream.id())
                    .with("value", value)
                    .write();
        }
    }
}
