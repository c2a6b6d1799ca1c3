package org.citrontide.core.lease;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes how long a process waits before it stands for election once there is no leader.
 *
 * <p>The delay is random, so that the attempts of many processes are spread. It is longer on a slow link: the leader
 * sends large orders to all ranks of a group, and the requests of its callers share its link.
 *
 * <p>Not thread-safe; the source of randomness is passed in.
 */
public final class CandidacyDelay {
    private static final Duration MAX_RANDOM_DELAY = Duration.ofMillis(300);
    // About the orders that change the map of a group of 80 ranks.
    private static final long REFERENCE_ROUND_BITS = 8_000_000;
    private static final double BITS_PER_MEGABIT = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    // Bounds the time without a leader if all links are slow.
    private static final Duration MAX_LINK_DELAY = Duration.ofSeconds(1);

    private final Duration linkDelay;
    private final RandomGenerator random;

    /**
     * Creates a delay for one VM.
     *
     * @param linkMegabitsPerSecond rate of the VM's link in Mbit/s
     * @param random source of randomness
     */
    public CandidacyDelay(double linkMegabitsPerSecond, RandomGenerator random) {
        double seconds = REFERENCE_ROUND_BITS / (linkMegabitsPerSecond * BITS_PER_MEGABIT);
        Duration delay = Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
        this.linkDelay = delay.compareTo(MAX_LINK_DELAY) < 0 ? delay : MAX_LINK_DELAY;
        this.random = random;
    }

    /**
     * Returns the delay before the next attempt.
     *
     * @return delay from now
     */
    public Duration next() {
        return linkDelay.plusNanos(random.nextLong(MAX_RANDOM_DELAY.toNanos()));
    }
}
