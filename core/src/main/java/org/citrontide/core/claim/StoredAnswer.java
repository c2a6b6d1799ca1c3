package org.citrontide.core.claim;

/**
 * A whole answer kept for callers that ask again with the same key. Immutable; the array must not be changed.
 *
 * @param status HTTP status
 * @param contentType media type, empty if unknown
 * @param body the whole body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {}
