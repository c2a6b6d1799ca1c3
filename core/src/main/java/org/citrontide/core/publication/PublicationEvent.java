package org.citrontide.core.publication;

/** What happens to a {@link PublicationMachine}. Immutable. */
public sealed interface PublicationEvent {

    /**
     * The head was read.
     *
     * @param revision revision of the value, 0 if there is none
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
     * A file's content is in the store.
     *
     * @param hash its hash
     */
    record FileWritten(String hash) implements PublicationEvent {}

    /** The head was replaced. */
    record HeadWritten() implements PublicationEvent {}

    /** The head was not replaced, because its revision was another one. */
    record HeadConflict() implements PublicationEvent {}

    /**
     * A call got no answer, or an error.
     *
     * @param mayHaveTakenEffect whether it may have been carried out all the same
     */
    record CallFailed(boolean mayHaveTakenEffect) implements PublicationEvent {}
}
