package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The requests of one service that wait at this gateway: while the service's group has lost a member, and after that
 * while room is better given to requests that can still be on time.
 *
 * <p>The load that it answers: a group that is down for a second or for several while requests come at the same pace as
 * before, and the crowd of late ones when it works again. A request waits as long as its caller surely does; then it is
 * refused, so that the caller can come back. While the group is down one request in an interval finds out whether it
 * still is, since each rejected one counts as a repeat when it is sent again. Late requests are sent one by one, each
 * when the one before it has begun, so that they leave slots free for others.
 *
 * <p>Invariant: a request that waits has no attempt under way. Not thread-safe: owned by the dispatcher's thread.
 */
final class AdmissionQueue {
    // Callers leave an answer without a first event after 2 s; the first event takes about 0.2 s.
    private static final Duration LONGEST_WAIT = Duration.ofMillis(1700);
    // A caller that waited for this part of its time can still be answered in the rest.
    private static final double LONGEST_PART = 0.35;
    // All gateways probe; a group is found to work again within this time and that of a first event.
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);
    // Late requests of one gateway without a first event: about half of the slots at the pace of first events.
    private static final int MOST_LATE_PENDING = 2;
    // Cuts and restarts are over by then; after that it is not known that waiting helps.
    private static final Duration LONG_OUTAGE = Duration.ofSeconds(8);
    // The crowd of an outage has come back by then: callers wait for a third of their time, 2.7 s of 8, at most.
    private static final Duration CROWD = Duration.ofSeconds(4);
    // Keeps the bodies of waiting requests to some megabytes.
    private static final int MOST_WAITING = 256;

    private final TreeSet<OpenGatewayRequest> waiting =
            new TreeSet<>(Comparator.<OpenGatewayRequest>comparingInt(o -> o.request.rank())
                    .thenComparingLong(o -> -o.request.arrivedNanos())
                    .thenComparingLong(o -> o.request.id()));
    private boolean isDown;
    private long downNanos;
    private long brokenNanos;
    private long probedNanos;
    private boolean hadOutage;
    private long workedNanos;
    private int latePending;

    boolean isDown() {
        return isDown;
    }

    /** Learns that an upstream rejected a request because its group is not whole; returns true if that is news. */
    boolean broken(long nowNanos) {
        boolean isNews = !isDown;
        downNanos = isNews ? nowNanos : downNanos;
        isDown = true;
        brokenNanos = nowNanos;
        return isNews;
    }

    /** Learns that an attempt sent at the given time is being answered; returns true if that ends an outage. */
    boolean answers(long sentNanos, long nowNanos) {
        if (!isDown || sentNanos <= brokenNanos) {
            return false;
        }
        isDown = false;
        hadOutage = true;
        workedNanos = nowNanos;
        return true;
    }

    int size() {
        return waiting.size();
    }

    /** Says whether a request may be sent at once, and takes the right to it. */
    boolean tryPass(GatewayRequest r, long nowNanos) {
        return isDown ? tryProbe(nowNanos) : !isHeldBack(r, nowNanos) || latePending < MOST_LATE_PENDING;
    }

    /** Learns that an attempt of a request was sent. */
    void sent(OpenGatewayRequest.Attempt a, GatewayRequest r, long nowNanos) {
        a.isLatePending = isHeldBack(r, nowNanos);
        latePending += a.isLatePending ? 1 : 0;
    }

    /** Learns that the answer of an attempt has begun, or that it will not. */
    void settled(OpenGatewayRequest.Attempt a) {
        latePending -= a.isLatePending ? 1 : 0;
        a.isLatePending = false;
    }

    /** Lets a request wait; returns false if it would not be answered while its caller waits, or too many wait. */
    boolean tryWait(OpenGatewayRequest o, long nowNanos) {
        boolean isLong = isDown && nowNanos - downNanos > LONG_OUTAGE.toNanos();
        if (o.begun || isLong || nowNanos >= waitEndNanos(o.request) || waiting.size() >= MOST_WAITING) {
            return false;
        }
        return waiting.add(o);
    }

    void remove(OpenGatewayRequest o) {
        waiting.remove(o);
    }

    /** Removes the requests whose callers should be told to come back. */
    List<OpenGatewayRequest> pollOverdue(long nowNanos) {
        List<OpenGatewayRequest> overdue = waiting.stream()
                .filter(o -> nowNanos >= waitEndNanos(o.request))
                .toList();
        overdue.forEach(waiting::remove);
        return overdue;
    }

    /** Removes the requests that may be sent now, in the order in which they should be. */
    List<OpenGatewayRequest> pollSendable(long nowNanos) {
        if (isDown) {
            return pollProbe(nowNanos);
        }
        List<OpenGatewayRequest> sendable = new ArrayList<>();
        int room = MOST_LATE_PENDING - latePending;
        for (OpenGatewayRequest o : waiting) {
            boolean isHeldBack = isHeldBack(o.request, nowNanos);
            if (!isHeldBack || room > 0) {
                sendable.add(o);
                room -= isHeldBack ? 1 : 0;
            }
        }
        sendable.forEach(waiting::remove);
        return sendable;
    }

    private List<OpenGatewayRequest> pollProbe(long nowNanos) {
        Optional<OpenGatewayRequest> unsent =
                waiting.stream().filter(o -> o.attempts == 0).findFirst();
        if (unsent.isEmpty() || !tryProbe(nowNanos)) {
            return List.of();
        }
        waiting.remove(unsent.get());
        return List.of(unsent.get());
    }

    private boolean tryProbe(long nowNanos) {
        if (nowNanos - probedNanos < PROBE_INTERVAL.toNanos()) {
            return false;
        }
        probedNanos = nowNanos;
        return true;
    }

    /** Says whether a request is one of the crowd that an outage left behind; without one, late requests are few. */
    private boolean isHeldBack(GatewayRequest r, long nowNanos) {
        boolean isCrowded = hadOutage && nowNanos - workedNanos < CROWD.toNanos();
        return isCrowded && r.route().streaming() && r.isLate(nowNanos);
    }

    private static long waitEndNanos(GatewayRequest r) {
        long part = (long) (LONGEST_PART * (r.deadlineNanos() - r.arrivedNanos()));
        return r.arrivedNanos() + Math.min(LONGEST_WAIT.toNanos(), part);
    }
}
