package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Decides which requests wait for this gateway's turn at a cold upstream, and which are refused because it comes too
 * late for their callers.
 *
 * <p>Handles a service whose upstreams are all cold, so that they take fewer requests than arrive. Serves for a single
 * event. Not thread-safe: confined to the dispatcher's thread.
 */
final class ColdTurnQueue {
    private final DispatchState state;
    private final long nowNanos;
    private final List<GatewayAction> actions;

    ColdTurnQueue(DispatchState state, long nowNanos, List<GatewayAction> actions) {
        this.state = state;
        this.nowNanos = nowNanos;
        this.actions = actions;
    }

    /** Returns whether cold upstreams alone keep a request from being sent, and reports the first time that they do. */
    boolean recordHeldBack(OpenGatewayRequest open) {
        boolean isHeldBack = state.placement.isHeldBack(open, nowNanos)
                && state.placement.select(open, nowNanos).isEmpty();
        if (isHeldBack && !open.isHeldBack) {
            open.isHeldBack = true;
            actions.add(new GatewayAction.ReportHeldBack(open.request));
        }
        return isHeldBack;
    }

    /** Queues a request whose next attempt waits for a turn; returns false if it can't wait. */
    boolean tryQueue(OpenGatewayRequest open) {
        if (open.attemptCount >= open.request.route().maxAttempts() || !recordHeldBack(open)) {
            return false;
        }
        OptionalLong openNanos = state.placement.nextOpenNanos(open, nowNanos);
        if (openNanos.isEmpty()
                || !queue(open).canWaitUntil(open, openNanos.getAsLong())
                || state.services.of(open).isWaitFutile(open, nowNanos)) {
            return false;
        }
        // Only this request waits: the upstreams that it was sent to already may be open to others.
        open.notBeforeNanos = openNanos.getAsLong();
        return queue(open).tryEnqueue(open, nowNanos);
    }

    /** Returns the refusal of a request whose turn comes too late, empty if it can wait for a turn. */
    Optional<Verdict.NotRun> findRefusal(OpenGatewayRequest open, OptionalLong openNanos) {
        if (openNanos.isEmpty()) {
            return Optional.empty();
        }
        int ahead = queue(open).sizeAhead(open.request.rank());
        long turnNanos = openNanos.getAsLong() + state.placement.queueDelayNanos(open, ahead, nowNanos);
        if (queue(open).canWaitUntil(open, turnNanos)) {
            return Optional.empty();
        }
        Duration retryAfter = state.retryAfterPolicy.retryAfterTurn(turnNanos, open.request, nowNanos);
        return Optional.of(new Verdict.NotRun(Reason.OVERLOADED, retryAfter));
    }

    private AdmissionQueue queue(OpenGatewayRequest open) {
        return state.services.of(open).queue;
    }
}
