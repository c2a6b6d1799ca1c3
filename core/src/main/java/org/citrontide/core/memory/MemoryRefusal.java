package org.citrontide.core.memory;

/**
 * The decision to refuse an account. Immutable.
 *
 * @param account the account, which is closed
 * @param bound the bound that was met
 */
public record MemoryRefusal(MemoryAccount account, MemoryBound bound) {}
