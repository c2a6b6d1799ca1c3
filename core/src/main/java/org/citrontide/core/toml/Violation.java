package org.citrontide.core.toml;

/**
 * One mistake in a TOML file. Immutable.
 *
 * @param file name of the file as given
 * @param line line number from 1, or 0 if the mistake concerns the whole file
 * @param column column number from 1, or 0 if the mistake concerns the whole file
 * @param key dotted key, empty for a syntax error
 * @param kind what sort of mistake it is
 * @param found what the file has
 * @param expected what was expected in its place
 */
public record Violation(String file, int line, int column, String key, Kind kind, String found, String expected) {

    /** Sorts of mistakes; the name in lower case is the message key. */
    public enum Kind {
        /** The file is not TOML. */
        SYNTAX,
        /** The key is not known. */
        UNKNOWN_KEY,
        /** A required key is missing. */
        MISSING_KEY,
        /** The value is of another type. */
        WRONG_TYPE,
        /** The value is outside its range. */
        OUT_OF_RANGE,
        /** Two parts of the file contradict each other. */
        CONTRADICTION
    }

    /**
     * Returns the mistake on one line for an operator.
     *
     * @return text with the position first
     */
    public String text() {
        String at = line > 0 ? file + ":" + line + ":" + column : file;
        String what = key.isEmpty() ? "" : " " + key;
        return at + ":" + what + ": found " + found + ", expected " + expected;
    }
}
