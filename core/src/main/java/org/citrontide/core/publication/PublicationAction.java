package org.citrontide.core.publication;

import java.time.Duration;

/** What a {@link PublicationMachine} asks of its shell: one call at a time. Immutable. */
public sealed interface PublicationAction {

    /**
     * Read the head.
     *
     * @param delay time to wait before
     */
    record ReadHead(Duration delay) implements PublicationAction {}

    /**
     * Read a file's content.
     *
     * @param hash its hash
     */
    record ReadFile(String hash) implements PublicationAction {}

    /**
     * Write a file's content under its hash.
     *
     * @param hash its hash
     * @param text its content
     */
    record WriteFile(String hash, String text) implements PublicationAction {}

    /**
     * Replace the head by compare-and-swap.
     *
     * @param expectedRevision revision the head must have, 0 if it must not exist
     * @param head the new head
     */
    record WriteHead(long expectedRevision, Head head) implements PublicationAction {}

    /**
     * The publication has ended.
     *
     * @param result how
     */
    record Finish(PublicationResult result) implements PublicationAction {}
}
