package org.citrontide.core.claim;

import java.time.Duration;

/**
 * The state of an attempt that requests or holds a claim. Not thread-safe.
 *
 * <p>Invariant: {@code sinceNanos} is not later than the first write that may have stored the claim.
 */
final class PendingClaim {

    /** The stage of the attempt. */
    enum Stage {
        /** Waits for the platform's store. */
        REQUESTED,
        /** Holds its claim; its call may have been sent. */
        GRANTED,
        /** Ended without a sent call, so that its claim must be released if it exists. */
        ABANDONED
    }

    final long attempt;
    final KeyHash key;
    final long deadlineNanos;
    Stage stage = Stage.REQUESTED;

    /** Whether a write with the claim was sent; the claim may then be stored. */
    boolean isWriteSent;

    long sinceNanos;
    long expiresEpochMillis;
    Duration window = Duration.ZERO;

    PendingClaim(ClaimEvent.ClaimRequested request) {
        this.attempt = request.attempt();
        this.key = request.key();
        this.deadlineNanos = request.deadlineNanos();
    }

    /** Sets the claim's lifetime at its first write; later writes of the same claim keep it. */
    void startWindow(Duration newWindow, long nowNanos, long epochMillis) {
        if (isWriteSent) {
            return;
        }
        isWriteSent = true;
        sinceNanos = nowNanos;
        window = newWindow;
        expiresEpochMillis = epochMillis + newWindow.toMillis();
    }
}
