package org.citrontide.core.lease;

import java.time.Duration;

/**
 * Delays candidacies in a new era of the store until the leader of the era before has certainly ended its term.
 *
 * <p>Handles a store that returns from an older copy of itself and has lost the leader key and its lease: the leader
 * relies on the lease until its next renewal, or until the lease ends by its own clocks, while another process could be
 * elected.
 *
 * <p>Invariant: no candidacy is due before the time to live of a lease has passed since a new era was seen. Leases are
 * renewed in their own era only. A store that names no era is never waited for. Not thread-safe; times are passed in.
 */
public final class EraGrace {
    private final Duration leaseTtl;
    private long era;
    private long endNanos;

    /**
     * Creates a grace period for a store whose era is unknown.
     *
     * @param leaseTtl time to live of the lease of a leader
     */
    public EraGrace(Duration leaseTtl) {
        this.leaseTtl = leaseTtl;
    }

    /**
     * Records the era that the store names.
     *
     * @param newEra number of the era, 0 if the store names none
     * @param nowNanos monotonic time in ns
     */
    public void recordEra(long newEra, long nowNanos) {
        if (newEra != era) {
            era = newEra;
            endNanos = nowNanos + leaseTtl.toNanos();
        }
    }

    /**
     * Returns the time until candidacies are due.
     *
     * @param nowNanos monotonic time in ns
     * @return zero if they are due
     */
    public Duration remaining(long nowNanos) {
        return era == 0 ? Duration.ZERO : Duration.ofNanos(Math.max(0, endNanos - nowNanos));
    }
}
