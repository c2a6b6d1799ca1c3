package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.LongToIntFunction;

import org.citrontide.core.capacity.OutageEstimator;
import org.citrontide.core.verdict.Reason;

/**
 * A queue of the requests of one service that wait at this gateway: while the service's group has lost a member, after
 * the recovery while its slots are reserved for requests that can still be on time, and while the rate limits of all
 * upstreams are used up.
 *
 * <p>Handles outages of a group of one or several seconds under a constant arrival rate, and the backlog of late
 * requests after the recovery. A request waits no longer than its caller is certain to wait; then it is refused, so
 * that the caller can retry. A caller that returns during the same outage is refused at once if earlier outages lasted
 * longer than it can wait; otherwise it precedes requests that wait for the first time, whose callers can still return.
 * While the group is down, only one request per interval probes it, because a rejected probe counts as a retry when it
 * is sent again. After the recovery the number of late requests whose response has not started is limited, so that
 * slots remain free for other requests.
 *
 * <p>Invariant: a waiting request has no attempt in flight. Not thread-safe: confined to the dispatcher's thread.
 */
final class AdmissionQueue {
    // Callers disconnect after 2 s without a first event, which takes an upstream about 0.2 s.
    private static final Duration MAX_WAIT = Duration.ofMillis(1700);
    // After waiting for this fraction of the deadline, a request can still complete in the remaining time.
    private static final double MAX_WAIT_FRACTION = 0.35;
    // Each gateway probes on its own: it detects a recovery within this interval plus the time to a first event.
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);
    // Network partitions and restarts end within this time; in a longer outage waiting is not known to help.
    private static final Duration LONG_OUTAGE = Duration.ofSeconds(8);
    // Refused callers have retried within this time: they wait for at most a third of their deadline, 2.7 s of 8 s.
    private static final Duration BACKLOG_PERIOD = Duration.ofSeconds(4);
    // A late request that is sent after an outage has its first event after about this time.
    private static final Duration LATE_FIRST_EVENT = Duration.ofMillis(200);
    // Limits the bodies of waiting requests to a few megabytes of memory.
    private static final int MAX_WAITING = 256;

    private final TreeSet<OpenGatewayRequest> waiting = new TreeSet<>(Comparator.<OpenGatewayRequest, Boolean>comparing(
                    open -> !open.isPreferred)
            .thenComparingInt(open -> open.request.rank())
            // Turns at cold upstreams are known beforehand: in order of arrival, all that wait get one in time.
            .thenComparing(open -> !open.isHeldBack)
            .thenComparingLong(open -> open.isHeldBack ? open.request.arrivedNanos() : -open.request.arrivedNanos())
            .thenComparingLong(open -> open.request.id()));
    private final LongToIntFunction lateLimit;
    private final OutageEstimator outageEstimator = new OutageEstimator();
    private boolean isDown;
    private int promised;
    private long downSinceNanos;
    private long lastRejectionNanos;
    private long lastProbeNanos;
    private boolean hadOutage;
    private long recoveredNanos;
    private int latePending;
    private OptionalLong blockedUntilNanos = OptionalLong.empty();

    /** Creates a queue; the limit on late requests before their first event depends on the time in ns. */
    AdmissionQueue(LongToIntFunction lateLimit) {
        this.lateLimit = lateLimit;
    }

    boolean isDown() {
        return isDown;
    }

    /** Records a rejection because the group lacks a member; returns whether this starts an outage. */
    boolean recordGroupDown(long nowNanos) {
        boolean isNewOutage = !isDown;
        downSinceNanos = isNewOutage ? nowNanos : downSinceNanos;
        promised = isNewOutage ? 0 : promised;
        isDown = true;
        lastRejectionNanos = nowNanos;
        return isNewOutage;
    }

    /** Records a response to an attempt sent at the given time; returns whether this ends an outage. */
    boolean recordResponse(long sentNanos, long nowNanos) {
        if (!isDown || sentNanos <= lastRejectionNanos) {
            return false;
        }
        isDown = false;
        outageEstimator.record(Duration.ofNanos(nowNanos - downSinceNanos));
        hadOutage = true;
        recoveredNanos = nowNanos;
        return true;
    }

    /** Returns how long the present outage is expected to last at most, if there is one and earlier ones tell. */
    Optional<Duration> expectedOutage(long nowNanos) {
        return estimate(nowNanos).map(OutageEstimator.Estimate::latest);
    }

    /**
     * Returns the time at which a refused request can be served after the present outage, and reserves it: the late
     * requests of this gateway that wait or were promised a time before are sent first.
     */
    OptionalLong promiseNanos(long nowNanos) {
        Optional<Duration> expected = expectedOutage(nowNanos);
        if (expected.isEmpty()) {
            return OptionalLong.empty();
        }
        long intervalNanos = LATE_FIRST_EVENT.toNanos() / lateLimit.applyAsInt(nowNanos);
        long places = (long) waiting.size() + promised++;
        return OptionalLong.of(downSinceNanos + expected.get().toNanos() + places * intervalNanos);
    }

    private Optional<OutageEstimator.Estimate> estimate(long nowNanos) {
        return isDown ? outageEstimator.estimate(Duration.ofNanos(nowNanos - downSinceNanos)) : Optional.empty();
    }

    /** Returns whether a caller that already waited once would stop waiting before the expected end of the outage. */
    private boolean isSecondWaitFutile(GatewayRequest request, long nowNanos) {
        return isReturning(request)
                && estimate(nowNanos)
                        .filter(e -> waitEndNanos(request)
                                < downSinceNanos + e.earliest().toNanos())
                        .isPresent();
    }

    /** Holds all requests until a time at which the rate limit of an upstream permits the next one. */
    void blockUntil(long nanos) {
        blockedUntilNanos = OptionalLong.of(nanos);
    }

    /** Ends the wait for rate limits, because an upstream may accept requests now. */
    void unblock() {
        blockedUntilNanos = OptionalLong.empty();
        waiting.forEach(open -> open.notBeforeNanos = Long.MIN_VALUE);
    }

    /** Returns whether the caller of a request is certain to wait until a time. */
    boolean canWaitUntil(OpenGatewayRequest open, long nanos) {
        return nanos < waitEndNanos(open.request);
    }

    /** Returns why a request that can't wait, or has waited too long, is refused. */
    Reason waitReason(long nowNanos) {
        return isBlocked(nowNanos) ? Reason.OVERLOADED : Reason.NO_UPSTREAM;
    }

    int size() {
        return waiting.size();
    }

    /** Returns the number of waiting requests that are sent before a new one of the given rank. */
    int sizeAhead(int rank) {
        return (int)
                waiting.stream().filter(open -> open.request.rank() <= rank).count();
    }

    /** Returns whether a request may be sent immediately; while the group is down, this uses up the next probe. */
    boolean tryAdmit(GatewayRequest request, long nowNanos) {
        if (isDown) {
            return tryProbe(nowNanos);
        }
        return !isBlocked(nowNanos)
                && (!isLateBacklog(request, nowNanos) || latePending < lateLimit.applyAsInt(nowNanos));
    }

    /** Records that an attempt of a request was sent. */
    void recordSent(OpenGatewayRequest.Attempt attempt, GatewayRequest request, long nowNanos) {
        attempt.isLatePending = isLateBacklog(request, nowNanos);
        latePending += attempt.isLatePending ? 1 : 0;
    }

    /** Records that the response to an attempt has started, or that it will not start. */
    void recordSettled(OpenGatewayRequest.Attempt attempt) {
        latePending -= attempt.isLatePending ? 1 : 0;
        attempt.isLatePending = false;
    }

    /** Queues a request; returns false if its caller would stop waiting first, or if the queue is full. */
    boolean tryEnqueue(OpenGatewayRequest open, long nowNanos) {
        boolean isLongOutage = isDown && nowNanos - downSinceNanos > LONG_OUTAGE.toNanos();
        long earliestNanos = isBlocked(nowNanos) ? blockedUntilNanos.getAsLong() : nowNanos;
        if (open.isResponseStarted
                || isLongOutage
                || isSecondWaitFutile(open.request, nowNanos)
                || earliestNanos >= waitEndNanos(open.request)
                || waiting.size() >= MAX_WAITING) {
            return false;
        }
        // Without an outage, callers that return early and often must not go before those that are still on time.
        open.isPreferred = isReturning(open.request) && (isDown || hasBacklog(nowNanos));
        return waiting.add(open);
    }

    void remove(OpenGatewayRequest open) {
        waiting.remove(open);
    }

    /** Removes and returns the requests that have waited for their maximum time. */
    List<OpenGatewayRequest> pollOverdue(long nowNanos) {
        List<OpenGatewayRequest> overdue = waiting.stream()
                .filter(open -> nowNanos >= waitEndNanos(open.request))
                .toList();
        overdue.forEach(waiting::remove);
        return overdue;
    }

    /** Removes and returns the requests that may be sent now, in sending order. */
    List<OpenGatewayRequest> pollSendable(long nowNanos) {
        if (isDown) {
            return pollProbe(nowNanos);
        }
        if (waiting.isEmpty() || isBlocked(nowNanos)) {
            return List.of();
        }
        List<OpenGatewayRequest> sendable = new ArrayList<>();
        int room = lateLimit.applyAsInt(nowNanos) - latePending;
        for (OpenGatewayRequest open : waiting) {
            if (nowNanos < open.notBeforeNanos) {
                continue;
            }
            boolean isLateBacklog = isLateBacklog(open.request, nowNanos);
            if (!isLateBacklog || room > 0) {
                sendable.add(open);
                room -= isLateBacklog ? 1 : 0;
            }
        }
        sendable.forEach(waiting::remove);
        return sendable;
    }

    private boolean isBlocked(long nowNanos) {
        return blockedUntilNanos.isPresent() && nowNanos < blockedUntilNanos.getAsLong();
    }

    private List<OpenGatewayRequest> pollProbe(long nowNanos) {
        Optional<OpenGatewayRequest> probe =
                waiting.stream().filter(open -> open.attemptCount == 0).findFirst();
        if (probe.isEmpty() || !tryProbe(nowNanos)) {
            return List.of();
        }
        waiting.remove(probe.get());
        return List.of(probe.get());
    }

    private boolean tryProbe(long nowNanos) {
        if (nowNanos - lastProbeNanos < PROBE_INTERVAL.toNanos()) {
            return false;
        }
        lastProbeNanos = nowNanos;
        return true;
    }

    /** Returns whether a request is late and part of the backlog of an outage; at other times late requests are few. */
    private boolean isLateBacklog(GatewayRequest request, long nowNanos) {
        return hasBacklog(nowNanos) && request.route().isStreaming() && request.isLate(nowNanos);
    }

    private boolean hasBacklog(long nowNanos) {
        return hadOutage && nowNanos - recoveredNanos < BACKLOG_PERIOD.toNanos();
    }

    /** Returns whether the caller of a request was refused before: a first request can still be on time. */
    private static boolean isReturning(GatewayRequest request) {
        return request.isLate(request.arrivedNanos());
    }

    private static long waitEndNanos(GatewayRequest request) {
        long maxWaitNanos = (long) (MAX_WAIT_FRACTION * (request.deadlineNanos() - request.arrivedNanos()));
        return request.arrivedNanos() + Math.min(MAX_WAIT.toNanos(), maxWaitNanos);
    }
}
