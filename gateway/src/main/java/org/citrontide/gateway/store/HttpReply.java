package org.citrontide.gateway.store;

/**
 * A whole HTTP answer. Immutable; the body must not be changed.
 *
 * @param status HTTP status
 * @param body the bytes
 */
public record HttpReply(int status, byte[] body) {}
