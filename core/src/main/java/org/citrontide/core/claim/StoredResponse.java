package org.citrontide.core.claim;

/**
 * A complete response kept for later requests with the same key. Immutable; the array must not be changed.
 *
 * @param status HTTP status
 * @param contentType media type, empty if unknown
 * @param body the whole body
 */
public record StoredResponse(int status, String contentType, byte[] body) {}
