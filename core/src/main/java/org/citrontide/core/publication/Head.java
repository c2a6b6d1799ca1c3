package org.citrontide.core.publication;

import java.util.List;
import java.util.Map;

/**
 * The one value that says which configuration is in force. Immutable.
 *
 * @param version number of the version, growing by one with each publication
 * @param files the files in force by name
 * @param publications the last publications, newest first
 */
public record Head(long version, Map<String, HeadFile> files, List<Publication> publications) {
    /** Publications that the head remembers. */
    public static final int REMEMBERED_PUBLICATIONS = 64;

    /** The head before the first publication. */
    public static final Head EMPTY = new Head(0, Map.of(), List.of());

    /** Copies the collections. */
    public Head {
        files = Map.copyOf(files);
        publications = List.copyOf(publications);
    }

    /**
     * One file in force. Immutable.
     *
     * @param version version that last changed it
     * @param hash lower-case hexadecimal SHA-256 of its content
     * @param publicationId publication that last changed it
     */
    public record HeadFile(long version, String hash, String publicationId) {}

    /**
     * One publication. Immutable.
     *
     * @param id random identifier drawn by the publisher
     * @param version the version it made
     */
    public record Publication(String id, long version) {}
}
