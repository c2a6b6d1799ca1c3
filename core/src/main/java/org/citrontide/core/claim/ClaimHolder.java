package org.citrontide.core.claim;

/**
 * Identifies the holder of a claim: an attempt within one run of a sidecar process. Never reused. Immutable.
 *
 * @param incarnation random number drawn at the start of the sidecar's process
 * @param attempt number of the attempt within that process
 */
public record ClaimHolder(long incarnation, long attempt) {}
