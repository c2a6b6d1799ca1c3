package org.citrontide.core.claim;

/**
 * A claim as stored in the platform's store. Immutable.
 *
 * @param key hash of the idempotency key
 * @param holder attempt that holds the claim
 * @param expiresEpochMillis wall-clock time from which the key may be claimed again, in ms since 1970
 */
public record Claim(KeyHash key, ClaimHolder holder, long expiresEpochMillis) {}
