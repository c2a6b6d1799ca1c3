package org.citrontide.core.publication;

import java.util.Locale;
import java.util.Optional;

/** The urgency class of a request, most urgent first. Immutable. */
public enum Urgency {
    /** Interactive requests: a user waits for the response. */
    LIVE,
    /** Batch requests due at a fixed time of day, such as summaries. */
    DAILY,
    /** Batch requests due by the next morning, such as write-ups. */
    OVERNIGHT;

    private static final Urgency[] ALL = values();

    /**
     * Returns the class with a given name in files and headers.
     *
     * @param name lower-case name
     * @return the class, or empty if there is none of this name
     */
    public static Optional<Urgency> ofExternalName(String name) {
        for (Urgency u : ALL) {
            if (u.externalName().equals(name)) {
                return Optional.of(u);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the class with a given ordinal on the wire.
     *
     * @param ordinal ordinal from 0; any other number means the least urgent class
     * @return the class
     */
    public static Urgency ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < ALL.length ? ALL[ordinal] : OVERNIGHT;
    }

    /**
     * Returns the name used in files, headers and metrics.
     *
     * @return lower-case name
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
