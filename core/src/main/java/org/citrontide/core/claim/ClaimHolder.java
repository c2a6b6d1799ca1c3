package org.citrontide.core.claim;

/**
 * Who made a claim: one attempt of one start of one sidecar. Never used twice. Immutable.
 *
 * @param incarnation random number drawn at the start of the sidecar's process
 * @param attempt number of the attempt within that process
 */
public record ClaimHolder(long incarnation, long attempt) {}
