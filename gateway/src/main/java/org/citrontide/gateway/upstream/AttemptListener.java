package org.citrontide.gateway.upstream;

import org.citrontide.core.gateway.AttemptOutcome;

/** Receives the progress of attempts. Called on the event loop. */
public interface AttemptListener {

    /**
     * Handles the head of a response. Called once, before the first bytes of a streamed response or the end of any
     * other, so that nothing is taken from the head of a response whose body turns out to be broken.
     *
     * @param attempt the attempt, whose head is present
     */
    void headReceived(UpstreamAttempt attempt);

    /**
     * Handles bytes of a streamed response.
     *
     * @param attempt the attempt
     * @param data bytes received since the last call
     */
    void dataReceived(UpstreamAttempt attempt, byte[] data);

    /**
     * Handles the end of an attempt.
     *
     * @param attempt the attempt
     * @param outcome outcome of the attempt
     */
    void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome);
}
