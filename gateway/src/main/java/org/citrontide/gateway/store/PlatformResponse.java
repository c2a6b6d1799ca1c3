package org.citrontide.gateway.store;

/**
 * A complete HTTP response of the platform. Immutable; the body must not be modified.
 *
 * @param status HTTP status
 * @param body content of the response
 */
public record PlatformResponse(int status, byte[] body) {}
