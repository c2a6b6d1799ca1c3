package org.citrontide.core.warmup;

import java.time.Duration;

/**
 * This gateway's place in the order in which the gateways take turns at a cold upstream. Immutable.
 *
 * <p>Positions are spread over the cycle, so that gateways whose rosters differ don't all take their turns in the same
 * part of it.
 *
 * @param index this gateway's place among all gateways, from 0
 * @param count number of gateways that share the turns
 * @param epochNanos monotonic time of this process in ns at the Unix epoch
 * @param isClockKnown whether the epoch is known
 */
public record TurnOrder(int index, int count, long epochNanos, boolean isClockKnown) {
    /**
     * Turns of a gateway that doesn't know the others. Up to 100 gateways may be in this state at once, each with turns
     * at times of its own; half of the rate is left because these can coincide.
     */
    public static final int UNKNOWN_COUNT = 200;

    /** Time after the start of a process within which the registrations of the other gateways may be incomplete. */
    public static final Duration SETTLING = Duration.ofSeconds(10);

    // Registrations that lapsed together return over some seconds, so a new process may have read half of them.
    private static final int SETTLING_FACTOR = 2;
    private static final double GOLDEN_RATIO = 0.618;

    /**
     * Creates an order without knowledge of the other gateways.
     *
     * @param random random number, by which the turns of such gateways differ
     * @return the order
     */
    public static TurnOrder unknown(int random) {
        return new TurnOrder(Math.floorMod(random, UNKNOWN_COUNT), UNKNOWN_COUNT, 0, false);
    }

    /**
     * Creates an order from the registered gateways.
     *
     * @param index this gateway's place among the registered ones, from 0
     * @param count number of registered gateways, including this one
     * @param minCount number of gateways that certainly exist
     * @param epochNanos monotonic time of this process in ns at the Unix epoch
     * @param uptime time since the start of the process
     * @return the order
     */
    public static TurnOrder of(int index, int count, int minCount, long epochNanos, Duration uptime) {
        if (uptime.compareTo(SETTLING) >= 0) {
            return new TurnOrder(index, Math.max(count, minCount), epochNanos, true);
        }
        int assumed = count == 1 ? UNKNOWN_COUNT : SETTLING_FACTOR * count;
        return new TurnOrder(index, Math.max(assumed, minCount), epochNanos, true);
    }

    /** Returns the position of this gateway within a cycle of {@link #count} slots. */
    int position() {
        int step = Math.max(1, (int) (GOLDEN_RATIO * count));
        while (greatestCommonDivisor(step, count) != 1) {
            step++;
        }
        return (int) ((long) index * step % count);
    }

    private static int greatestCommonDivisor(int a, int b) {
        return b == 0 ? a : greatestCommonDivisor(b, a % b);
    }
}
