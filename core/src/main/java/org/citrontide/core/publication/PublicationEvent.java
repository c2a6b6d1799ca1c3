package org.citrontide.core.publication;

/** An event that a {@link PublicationStateMachine} handles. Immutable. */
public sealed interface PublicationEvent {

    /**
     * The head was read.
     *
     * @param revision revision of the head, 0 if there is none
     * @param head the head
     */
    record HeadRead(long revision, Head head) implements PublicationEvent {}

    /**
     * A file's content was read.
     *
     * @param hash its hash
     * @param text its content
     */
    record FileRead(String hash, String text) implements PublicationEvent {}

    /**
     * A file's content was written to the store.
     *
     * @param hash its hash
     */
    record FileWritten(String hash) implements PublicationEvent {}

    /** The head was replaced. */
    record HeadWritten() implements PublicationEvent {}

    /** The head was not replaced, because its revision did not match the expected one. */
    record HeadConflict() implements PublicationEvent {}

    /**
     * A call failed or got no response.
     *
     * @param mayHaveTakenEffect whether the call may have taken effect despite the failure
     */
    record CallFailed(boolean mayHaveTakenEffect) implements PublicationEvent {}
}
