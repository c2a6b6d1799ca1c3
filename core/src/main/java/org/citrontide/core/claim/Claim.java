package org.citrontide.core.claim;

/**
 * One claim as the platform's service keeps it. Immutable.
 *
 * @param key hash of the idempotency key
 * @param holder attempt that made the claim
 * @param expiresEpochMillis wall-clock time from which the key may be claimed again, in ms since 1970
 */
public record Claim(KeyHash key, ClaimHolder holder, long expiresEpochMillis) {}
