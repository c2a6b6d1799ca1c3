package org.citrontide.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.citrontide.core.routes.Route;

/**
 * Decides when the upstreams of a service are queried for their speed, and when the streams of a slow one are moved.
 *
 * <p>Handles groups in which one slow member slows down all others. Not thread-safe.
 */
final class SpeedMonitor {
    // If a larger fraction of the upstreams is slow, the others lack the capacity to take over their streams.
    private static final double MAX_SLOW_FRACTION = 0.25;

    private final Map<String, SlownessDetector> detectorByService = new HashMap<>();

    /** Records the gap between two parts of a response; returns whether the service's upstreams must be queried. */
    boolean recordGap(GatewayRequest request, long gapNanos, List<UpstreamState> upstreams, long nowNanos) {
        Route route = request.route();
        SlownessDetector detector = detectorByService.computeIfAbsent(request.service(), s -> new SlownessDetector());
        detector.recordGap(gapNanos);
        boolean hasSlowUpstream = upstreams.stream().anyMatch(UpstreamState::isSlow);
        return route.targetGap().isPositive()
                && detector.tryStartQuery(route.targetGap(), upstreams.size(), hasSlowUpstream, nowNanos);
    }

    /** Records a reported slowness; returns whether the upstream became slow and others can take over its streams. */
    boolean recordSlowness(UpstreamState upstream, double slowness, List<UpstreamState> upstreams) {
        boolean wasSlow = upstream.isSlow();
        upstream.recordReportedSlowness(slowness);
        if (wasSlow || !upstream.isSlow()) {
            return false;
        }
        long slow = upstreams.stream().filter(UpstreamState::isSlow).count();
        return slow <= Math.max(1, MAX_SLOW_FRACTION * upstreams.size());
    }
}
