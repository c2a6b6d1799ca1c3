package org.citrontide.gateway.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.citrontide.core.gateway.CallerWaitEstimator;
import org.citrontide.core.gateway.GatewayRequest;
import org.citrontide.core.gateway.StopSchedule;
import org.citrontide.core.routes.Route;
import org.citrontide.core.routes.Team;
import org.citrontide.core.verdict.Reason;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.gateway.filter.GatewayFilter;
import org.citrontide.gateway.filter.RequestHead;
import org.citrontide.platform.PlatformHeaders;

/**
 * Turns the requests of callers into those that the dispatcher handles.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
final class GatewayRequestFactory {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

    private final RandomGenerator random;
    private final CallerWaitEstimator waitEstimator = new CallerWaitEstimator();
    private long nextRequestId = 1;

    GatewayRequestFactory(RandomGenerator random) {
        this.random = random;
    }

    /** Returns why a request is refused before it is dispatched, or empty if it is not. */
    Optional<Reason> findRefusal(
            CallerRequest request, RequestHead head, Optional<StopSchedule> stopSchedule, long now) {
        if (stopSchedule.filter(s -> s.isNoticeOver(now)).isPresent()) {
            return Optional.of(Reason.DRAINING);
        }
        Optional<Reason> refusal = GatewayFilter.checkAll(head);
        if (refusal.isPresent() || stopSchedule.isEmpty()) {
            return refusal;
        }
        long deadline = now + timeout(request, head.route()).toNanos();
        return stopSchedule.get().accepts(deadline, now) ? Optional.empty() : Optional.of(Reason.DRAINING);
    }

    /** Creates the request that the dispatcher handles, with a new identifier, from one that arrived at a time. */
    GatewayRequest create(CallerRequest callerRequest, RequestHead head, long arrivedNanos) {
        Route route = head.route();
        Duration timeout = timeout(callerRequest, route);
        int rank = head.team().flatMap(Team::priority).orElse(route.priority());
        TokenCounts tokens = TokenCounts.parse(callerRequest.headers());
        return new GatewayRequest(
                nextRequestId++,
                route,
                route.service(random.nextDouble()),
                head.team().map(Team::name).orElse(""),
                rank,
                tokens.prompt(),
                tokens.completion(),
                PromptParts.parseShared(callerRequest.headers()),
                waitEstimator.estimateWait(route.name(), timeout),
                arrivedNanos,
                arrivedNanos + timeout.toNanos(),
                head.team().map(Team::allowedRegions).orElse(Set.of()));
    }

    /** Returns the time after which a caller needs no response, whatever its route. */
    static Duration callerTimeout(CallerRequest request) {
        return UpstreamRequestBuilder.parseNumber(request.headers(), PlatformHeaders.REMAINING_MS)
                .map(Duration::ofMillis)
                .orElse(DEFAULT_TIMEOUT);
    }

    private static Duration timeout(CallerRequest request, Route route) {
        Duration callerTimeout = callerTimeout(request);
        return callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout();
    }
}
