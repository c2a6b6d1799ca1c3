package org.citrontide.gateway.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.citrontide.core.gateway.GatewayRequest;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.gateway.upstream.EventStreamMerger;
import org.citrontide.gateway.upstream.ResponseHead;
import org.citrontide.gateway.upstream.UpstreamAttempt;

/**
 * A caller's request without a final response, and its latest attempt. Not thread-safe: owned by the event loop.
 */
final class OpenExchange {
    final CallerRequest caller;
    final GatewayRequest request;
    final EventStreamMerger eventMerger = new EventStreamMerger();
    Optional<UpstreamAttempt> attempt = Optional.empty();
    boolean responseStarted;
    int attempts;

    /** Whether the response to the latest attempt is not read because the caller is slow. */
    boolean isReadingPaused;

    /** Time from the arrival of the request to its first attempt, empty before that. */
    Optional<Duration> timeToFirstAttempt = Optional.empty();

    OpenExchange(CallerRequest caller, GatewayRequest request) {
        this.caller = caller;
        this.request = request;
    }

    /**
     * Returns whether a streamed response ended within an event, or without any event and any sign of its end: if it
     * has no length, an upstream that breaks off can't be distinguished from one that has finished.
     */
    boolean isTruncated(UpstreamAttempt ended) {
        Optional<ResponseHead> head = ended.head();
        if (head.isEmpty()) {
            return false;
        }
        boolean isEmpty = ended.isStreamed() && !eventMerger.hasEvents();
        return !eventMerger.isAtEventBoundary() || isEmpty && !head.get().hasLength();
    }
}
