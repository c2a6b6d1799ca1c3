package org.citrontide.core.publication;

import java.util.List;
import java.util.Map;

/**
 * The head of the configuration: the stored value that determines which files are in force. Immutable.
 *
 * @param version number of the version, which each publication increments
 * @param files the files in force by name
 * @param publications the latest publications, newest first
 */
public record Head(long version, Map<String, HeadFile> files, List<Publication> publications) {
    /** Maximum number of publications that the head lists. */
    public static final int MAX_PUBLICATIONS = 64;

    /** The head before the first publication. */
    public static final Head EMPTY = new Head(0, Map.of(), List.of());

    /** Copies the collections. */
    public Head {
        files = Map.copyOf(files);
        publications = List.copyOf(publications);
    }

    /**
     * A file in force. Immutable.
     *
     * @param version version that last changed the file
     * @param hash lower-case hexadecimal SHA-256 of the content
     * @param publicationId identifier of the publication that last changed the file
     */
    public record HeadFile(long version, String hash, String publicationId) {}

    /**
     * A publication. Immutable.
     *
     * @param id random identifier drawn by the publisher
     * @param version the version that it created
     */
    public record Publication(String id, long version) {}
}
