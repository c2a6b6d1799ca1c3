package org.citrontide.core.routes;

import java.time.Duration;

/**
 * Limits on the size and duration of callers' requests. Immutable.
 *
 * @param headerBytes maximum size of a request head in bytes
 * @param bodyBytes maximum size of a request body in bytes
 * @param headerTimeout maximum time to receive a request head
 * @param idleTimeout maximum time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that apply until the first configuration is loaded. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16_384, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
