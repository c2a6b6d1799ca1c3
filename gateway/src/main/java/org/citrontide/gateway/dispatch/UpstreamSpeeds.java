package org.citrontide.gateway.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.citrontide.core.expertmap.RankReport;
import org.citrontide.core.gateway.GatewayEvent;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.gateway.upstream.ReportReader;

/**
 * Reads the reported speeds of upstreams and passes them on to the dispatcher.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
final class UpstreamSpeeds {
    // Smaller changes of the slowness of an upstream are not logged.
    private static final double MIN_LOGGED_SLOWNESS_CHANGE = 0.5;

    private final ReportReader reports;
    private final RequestLog log;
    private final Consumer<GatewayEvent> dispatcher;
    private final Map<String, Double> slownessByUpstream = new HashMap<>();

    UpstreamSpeeds(ReportReader reports, RequestLog log, Consumer<GatewayEvent> dispatcher) {
        this.reports = reports;
        this.log = log;
        this.dispatcher = dispatcher;
    }

    /** Discards the speeds of upstreams that are no longer listed. */
    void retain(List<ListedUpstream> upstreams) {
        slownessByUpstream
                .keySet()
                .retainAll(upstreams.stream().map(ListedUpstream::id).toList());
    }

    void query(ListedUpstream upstream) {
        reports.read(upstream, report -> report.ifPresent(r -> handleReport(upstream, r)));
    }

    private void handleReport(ListedUpstream upstream, RankReport report) {
        double previous = Optional.ofNullable(slownessByUpstream.put(upstream.id(), report.slowness()))
                .orElse(1.0);
        if (Math.abs(report.slowness() - previous) > MIN_LOGGED_SLOWNESS_CHANGE) {
            log.logSpeedChange(upstream.id(), previous, report.slowness());
        }
        dispatcher.accept(new GatewayEvent.ReportReceived(upstream.id(), report.slowness(), report.isOpen()));
    }
}
