package org.citrontide.core.publication;

import java.util.Locale;
import java.util.Optional;

/** Urgency class of a request, most urgent first. Immutable. */
public enum Urgency {
    /** Somebody waits for the reply. */
    LIVE,
    /** A summary that is due at a time of day. */
    DAILY,
    /** A write-up that is due by the next morning. */
    OVERNIGHT;

    private static final Urgency[] ALL = values();

    /**
     * Finds a class by its name in files and headers.
     *
     * @param word lower-case name
     * @return the class, or empty if there is none of this name
     */
    public static Optional<Urgency> ofWord(String word) {
        for (Urgency u : ALL) {
            if (u.word().equals(word)) {
                return Optional.of(u);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a class by its ordinal on the wire.
     *
     * @param ordinal number from 0; a number that is too large means the least urgent class
     * @return the class
     */
    public static Urgency ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < ALL.length ? ALL[ordinal] : OVERNIGHT;
    }

    /**
     * Returns the name in files, headers and metrics.
     *
     * @return lower-case name
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
