package org.citrontide.core.warmup;

import java.time.Duration;

import org.citrontide.core.routes.ColdRule;

/**
 * This gateway's share of the requests that one cold upstream takes from all gateways.
 *
 * <p>Time is divided into slots of one request, and the gateways own them in turn. A turn may be used from the start of
 * its slot until it lapses, so that it isn't lost when a request arrives or a timer fires a little later.
 *
 * <p>Invariant: the turns of all gateways that are usable within a second, with clocks up to {@link #MAX_SKEW} apart,
 * are at most those that the settings allow less {@link #RESERVE}. Not thread-safe.
 */
final class TurnShare {
    /** Largest difference between the clocks of two gateways. */
    private static final Duration MAX_SKEW = Duration.ofMillis(200);

    // Requests of gateways that restarted in their turn, or whose rosters differ for some seconds.
    private static final int RESERVE = 3;
    // Waiting requests are sent on a tick of 50 ms at the latest.
    private static final Duration MIN_LIFETIME = Duration.ofMillis(60);
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final long slotNanos;
    private final long lifetimeNanos;
    private final int offset;
    private TurnOrder order;
    private long usedNanos;
    private int usesOfTurn;

    TurnShare(String upstream, ColdRule rule, ColdSettings settings, TurnOrder order, long nowNanos) {
        this.slotNanos = Math.max(1, (long) (NANOS_PER_SECOND / rule.perSecond()));
        double excess = Math.max(1, settings.overage())
                - 1
                - MAX_SKEW.toNanos() / NANOS_PER_SECOND
                + (settings.slack() - RESERVE) / rule.perSecond();
        this.lifetimeNanos = Math.max(MIN_LIFETIME.toNanos(), (long) (excess * NANOS_PER_SECOND));
        this.offset = upstream.hashCode();
        this.order = order;
        this.usedNanos = nowNanos;
    }

    /** Changes the order; past turns of the new one are not usable, since others may have used them. */
    void setOrder(TurnOrder newOrder, long nowNanos) {
        if (newOrder.index() != order.index() || newOrder.count() != order.count()) {
            usedNanos = nowNanos;
            usesOfTurn = 0;
        }
        order = newOrder;
    }

    /** Returns the time from which the next request may be sent, now or later. */
    long nextOpenNanos(int usesPerTurn, long nowNanos) {
        return Math.max(nowNanos, nextTurnNanos(usesPerTurn, nowNanos));
    }

    /** Records a request, in a turn if one is open. */
    void recordSent(int usesPerTurn, long nowNanos) {
        long turnNanos = nextTurnNanos(usesPerTurn, nowNanos);
        if (turnNanos > nowNanos) {
            return;
        }
        usesOfTurn = turnNanos - usedNanos < slotNanos / 2 ? usesOfTurn + 1 : 1;
        usedNanos = turnNanos;
    }

    double perSecond() {
        return NANOS_PER_SECOND / slotNanos / order.count();
    }

    private long nextTurnNanos(int usesPerTurn, long nowNanos) {
        // Half a slot tolerates the rounding of the epoch, which is read again every second.
        boolean isTurnLeft = usesOfTurn > 0 && usesOfTurn < usesPerTurn;
        long margin = isTurnLeft ? -slotNanos / 2 : slotNanos / 2;
        long fromNanos = Math.max(usedNanos + margin, nowNanos - lifetimeNanos);
        long from = Math.ceilDiv(fromNanos - order.epochNanos(), slotNanos);
        long own = from + Math.floorMod(order.position() + (long) offset - from, (long) order.count());
        return order.epochNanos() + own * slotNanos;
    }
}
