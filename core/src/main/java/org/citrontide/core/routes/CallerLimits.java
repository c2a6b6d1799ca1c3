package org.citrontide.core.routes;

import java.time.Duration;

/**
 * What a caller may send, and how long it may take. Immutable.
 *
 * @param headerBytes longest head of a request in bytes
 * @param bodyBytes longest body in bytes
 * @param headerTimeout longest time for a head
 * @param idleTimeout longest time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits before the first configuration is known. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16_384, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
