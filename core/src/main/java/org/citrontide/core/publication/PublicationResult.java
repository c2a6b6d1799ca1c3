package org.citrontide.core.publication;

import java.util.List;

import org.citrontide.core.toml.Violation;

/** How a publication ended. Immutable. */
public sealed interface PublicationResult {

    /**
     * The files are in force from this version on.
     *
     * @param version the new version
     */
    record Published(long version) implements PublicationResult {}

    /**
     * The same content is in force already.
     *
     * @param version the version in force
     */
    record Unchanged(long version) implements PublicationResult {}

    /**
     * Another publication changed the same file meanwhile; nothing was changed.
     *
     * @param file the file
     * @param rivalPublicationId the other publication
     */
    record Conflict(String file, String rivalPublicationId) implements PublicationResult {}

    /**
     * The files together with those in force are not valid; nothing was changed.
     *
     * @param violations the mistakes
     */
    record Invalid(List<Violation> violations) implements PublicationResult {}

    /**
     * The platform's service did not answer.
     *
     * @param mayHaveTakenEffect whether the files may be in force all the same
     */
    record Unreachable(boolean mayHaveTakenEffect) implements PublicationResult {}
}
