package org.citrontide.gateway.upstream;

import org.citrontide.core.gateway.AttemptOutcome;

/** Hears of the progress of attempts. Called on the event loop. */
public interface AttemptListener {

    /**
     * Bytes of a streamed answer arrived.
     *
     * @param attempt the attempt
     * @param data the bytes
     */
    void streamed(UpstreamAttempt attempt, byte[] data);

    /**
     * An attempt ended.
     *
     * @param attempt the attempt
     * @param outcome how
     */
    void ended(UpstreamAttempt attempt, AttemptOutcome outcome);
}
