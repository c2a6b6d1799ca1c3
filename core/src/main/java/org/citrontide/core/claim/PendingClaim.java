package org.citrontide.core.claim;

import java.time.Duration;

/**
 * An attempt on its way to a claim, and the claim's age once it is held. Not thread-safe.
 *
 * <p>Invariant: {@code sinceNanos} is a time before the first write that may have made the claim.
 */
final class PendingClaim {

    /** How far the attempt has come. */
    enum Stage {
        /** Waits for the platform's service. */
        ASKED,
        /** Holds its claim; its call may have gone out. */
        GRANTED,
        /** Was answered before it was granted. */
        DROPPED
    }

    final long attempt;
    final KeyHash key;
    final long deadlineNanos;
    Stage stage = Stage.ASKED;

    /** Whether a write that holds the claim was sent. */
    boolean written;

    long sinceNanos;
    long expiresEpochMillis;
    Duration window = Duration.ZERO;

    PendingClaim(ClaimEvent.Ask ask) {
        this.attempt = ask.attempt();
        this.key = ask.key();
        this.deadlineNanos = ask.deadlineNanos();
    }

    /** Fixes the claim's lifetime at its first write; later writes of the same attempt repeat it. */
    void claim(Duration newWindow, long nowNanos, long epochMillis) {
        if (written) {
            return;
        }
        written = true;
        sinceNanos = nowNanos;
        window = newWindow;
        expiresEpochMillis = epochMillis + newWindow.toMillis();
    }
}
