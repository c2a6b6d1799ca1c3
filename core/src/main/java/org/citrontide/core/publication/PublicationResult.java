package org.citrontide.core.publication;

import java.util.List;

import org.citrontide.core.toml.Violation;

/** The outcome of a publication. Immutable. */
public sealed interface PublicationResult {

    /**
     * The files are in force from this version on.
     *
     * @param version the new version
     */
    record Published(long version) implements PublicationResult {}

    /**
     * The same content was already in force; nothing was changed.
     *
     * @param version the version in force
     */
    record Unchanged(long version) implements PublicationResult {}

    /**
     * Another publication changed the same file concurrently; nothing was changed.
     *
     * @param file name of the file
     * @param otherPublicationId identifier of the other publication
     */
    record Conflict(String file, String otherPublicationId) implements PublicationResult {}

    /**
     * The files together with those in force are not valid; nothing was changed.
     *
     * @param violations the violations found
     */
    record Invalid(List<Violation> violations) implements PublicationResult {}

    /**
     * The platform's store did not respond.
     *
     * @param mayHaveTakenEffect whether the publication may have taken effect despite the failure
     */
    record Unreachable(boolean mayHaveTakenEffect) implements PublicationResult {}
}
