package org.citrontide.store.client;

/** The outcome of a call to the platform's key-value service. Immutable; callers must not modify the arrays. */
public sealed interface StoreReply {

    /**
     * The value was read.
     *
     * @param revision revision of the value
     * @param value content of the value
     */
    record Value(long revision, byte[] value) implements StoreReply {}

    /** The key has no value. */
    record NotFound() implements StoreReply {}

    /** The value did not change before the watch timed out. */
    record NotModified() implements StoreReply {}

    /**
     * The value was written.
     *
     * @param revision new revision of the value
     */
    record Written(long revision) implements StoreReply {}

    /** The value was not written, because its revision differs from the expected one. */
    record Conflict() implements StoreReply {}

    /**
     * The call failed.
     *
     * @param mayHaveTakenEffect whether the call is a write that the service may have applied
     * @param detail description of the failure
     */
    record Failed(boolean mayHaveTakenEffect, String detail) implements StoreReply {}
}
