package org.citrontide.store.client;

/** The outcome of one call to the platform's key-value service. Immutable; the arrays must not be changed. */
public sealed interface StoreReply {

    /**
     * The value was read.
     *
     * @param revision its revision
     * @param value its bytes
     */
    record Value(long revision, byte[] value) implements StoreReply {}

    /** There is no such value. */
    record Missing() implements StoreReply {}

    /** The value did not change during the watch. */
    record Unchanged() implements StoreReply {}

    /**
     * The value was written.
     *
     * @param revision its new revision
     */
    record Written(long revision) implements StoreReply {}

    /** The value was not written, because its revision was another one. */
    record Conflict() implements StoreReply {}

    /**
     * The call failed.
     *
     * @param mayHaveTakenEffect whether a write may have been carried out all the same
     * @param detail what happened
     */
    record Failed(boolean mayHaveTakenEffect, String detail) implements StoreReply {}
}
