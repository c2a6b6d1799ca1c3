package org.citrontide.fakes.store;

/**
 * Faults that a fake store injects. Immutable.
 *
 * @param down whether the store closes each connection without a reply
 * @param delayMillis additional delay of each call, in ms
 * @param loseAnswers number of next writes that take effect but whose reply is lost
 * @param maxCallsPerSecond rate above which calls are rejected, 0 for no limit
 * @param listLagMillis delay until a new list of VMs becomes visible to readers, in ms
 */
public record StoreFaults(boolean down, long delayMillis, int loseAnswers, int maxCallsPerSecond, long listLagMillis) {
    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0, 0);
}
