package org.citrontide.core.gateway;

import java.time.Duration;

import org.citrontide.core.routes.Route;

/** What a dispatcher keeps for one service. Not thread-safe. */
final class ServiceState {
    // A plain idempotent request is retried elsewhere after this multiple of its target latency.
    private static final int STALL_TARGET_MULTIPLE = 3;

    final GatewayRetryBudget retryBudget;
    final AdmissionQueue queue = new AdmissionQueue();
    final StallDetector stallDetector = new StallDetector();

    ServiceState(GatewayRetryBudget retryBudget) {
        this.retryBudget = retryBudget;
    }

    /** Returns whether an attempt has been without bytes for so long that it is considered lost. */
    boolean isSilentForTooLong(Route route, OpenGatewayRequest.Attempt attempt, long nowNanos) {
        long silentNanos = nowNanos - Math.max(attempt.progressNanos, attempt.upstream.lastProgressNanos());
        return !attempt.isPaused()
                && silentNanos >= stallTimeout(route, attempt).toNanos();
    }

    private Duration stallTimeout(Route route, OpenGatewayRequest.Attempt attempt) {
        return route.isStreaming()
                ? stallDetector.timeout(attempt.isStarted)
                : route.target().multipliedBy(STALL_TARGET_MULTIPLE);
    }
}
