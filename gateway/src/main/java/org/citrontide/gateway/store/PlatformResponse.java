package org.citrontide.gateway.store;

import java.util.OptionalLong;

/**
 * A complete HTTP response of the platform. Immutable; the body must not be modified.
 *
 * @param status HTTP status
 * @param body content of the response
 * @param storeEra era of the store that responded, empty if the response names none that can be read
 */
public record PlatformResponse(int status, byte[] body, OptionalLong storeEra) {}
