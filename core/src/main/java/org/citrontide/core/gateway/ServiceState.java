package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongToIntFunction;

import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;

/** What a dispatcher keeps for one service. Not thread-safe. */
final class ServiceState {
    // A plain idempotent request is retried elsewhere after this multiple of its target latency.
    private static final int STALL_TARGET_MULTIPLE = 3;

    final GatewayRetryBudget retryBudget;
    final AdmissionQueue queue;
    final StallDetector stallDetector = new StallDetector();

    ServiceState(GatewayRetryBudget retryBudget, LongToIntFunction lateLimit) {
        this.retryBudget = retryBudget;
        this.queue = new AdmissionQueue(lateLimit);
    }

    /** Spends a retry if the budget allows it, and reports the first one that it denies to a request. */
    boolean trySpendRetry(OpenGatewayRequest open, Reason reason, long nowNanos, List<GatewayAction> actions) {
        boolean isAllowed = retryBudget.tryRetry(nowNanos);
        if (isAllowed || !open.isDenialReported) {
            GatewayAction.Retry retry = new GatewayAction.Retry(reason, retryBudget.state(nowNanos));
            if (isAllowed) {
                open.pendingRetry = Optional.of(retry);
            } else {
                open.isDenialReported = true;
                actions.add(new GatewayAction.ReportRetryDenied(open.request, retry));
            }
        }
        return isAllowed;
    }

    /** Returns whether a request would wait for a retry although none is allowed yet. */
    boolean isWaitFutile(OpenGatewayRequest open, long nowNanos) {
        return open.attemptCount > 0 && !retryBudget.isInService(nowNanos);
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
