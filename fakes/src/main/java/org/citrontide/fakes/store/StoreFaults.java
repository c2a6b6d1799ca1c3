package org.citrontide.fakes.store;

/**
 * The faults that a fake store shows. Immutable.
 *
 * @param down whether every connection breaks without an answer
 * @param delayMillis time added to each call, in ms
 * @param loseAnswers number of writes from now on that take effect but get no answer
 * @param maxCallsPerSecond calls above this rate are refused, 0 for no limit
 * @param listLagMillis time after which a new list of VMs is seen, in ms
 */
public record StoreFaults(boolean down, long delayMillis, int loseAnswers, int maxCallsPerSecond, long listLagMillis) {
    /** A store without faults. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0, 0);
}
