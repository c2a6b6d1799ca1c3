package org.citrontide.core.gateway;

/**
 * Assigns consecutive slots of time to the gateways in turn, so that together they send one request in each slot
 * without messages between them. Immutable.
 *
 * @param index this gateway's place among all gateways, from 0
 * @param count number of gateways
 * @param epochNanos monotonic time of this process in ns at the start of the first slot, at the same moment for all
 */
public record SendSlots(int index, int count, long epochNanos) {
    /** Slots of a gateway that doesn't know the others yet: a small share, which few deployments exceed together. */
    public static final SendSlots UNKNOWN = new SendSlots(0, 12, 0);

    /**
     * Returns the number of the slot at a time.
     *
     * @param slotNanos length of a slot in ns
     * @param nowNanos monotonic time in ns
     * @return number of the slot
     */
    long slotAt(long slotNanos, long nowNanos) {
        return Math.floorDiv(nowNanos - epochNanos, slotNanos);
    }

    /**
     * Returns the first slot of this gateway from a given one.
     *
     * @param from number of the slot
     * @param offset shifts the turns, so that limits of equal length have different ones
     * @return number of a slot, {@code from} or later
     */
    long nextOwn(long from, int offset) {
        return from + Math.floorMod(index + offset - from, (long) count);
    }

    /**
     * Returns the start of a slot.
     *
     * @param slot number of the slot
     * @param slotNanos length of a slot in ns
     * @return monotonic time in ns
     */
    long startNanos(long slot, long slotNanos) {
        return epochNanos + slot * slotNanos;
    }
}
