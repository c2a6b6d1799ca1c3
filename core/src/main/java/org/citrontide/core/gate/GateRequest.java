package org.citrontide.core.gate;

import java.util.Optional;

import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.queue.Waiting;

/**
 * One attempt in front of an upstream. Immutable.
 *
 * @param waiting its place in the queue; the identifier is never used twice in a process
 * @param repeatable whether running it twice does no harm
 * @param key hash of its idempotency key, if it has one
 */
public record GateRequest(Waiting waiting, boolean repeatable, Optional<KeyHash> key) {

    /**
     * Returns the identifier.
     *
     * @return number of the attempt
     */
    public long id() {
        return waiting.id();
    }

    boolean needsClaim() {
        return !repeatable && key.isPresent();
    }
}
