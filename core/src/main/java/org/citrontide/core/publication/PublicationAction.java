package org.citrontide.core.publication;

import java.time.Duration;

/** An action that a {@link PublicationStateMachine} requests from its caller, one at a time. Immutable. */
public sealed interface PublicationAction {

    /**
     * Reads the head.
     *
     * @param delay time to wait before the read
     */
    record ReadHead(Duration delay) implements PublicationAction {}

    /**
     * Reads a file's content.
     *
     * @param hash its hash
     */
    record ReadFile(String hash) implements PublicationAction {}

    /**
     * Writes a file's content under its hash.
     *
     * @param hash its hash
     * @param text its content
     */
    record WriteFile(String hash, String text) implements PublicationAction {}

    /**
     * Replaces the head by compare-and-set.
     *
     * @param expectedRevision revision that the head must have, 0 if it must not exist
     * @param head the new head
     */
    record WriteHead(long expectedRevision, Head head) implements PublicationAction {}

    /**
     * Ends the publication.
     *
     * @param result outcome of the publication
     */
    record Finish(PublicationResult result) implements PublicationAction {}
}
