package org.citrontide.core.memory;

/** The owner of an account, which frees its memory when the ledger refuses it. */
@FunctionalInterface
public interface MemoryOwner {

    /**
     * Frees all memory of the account, which the ledger no longer counts.
     *
     * @param bound the bound that was met
     */
    void memoryRefused(MemoryBound bound);
}
