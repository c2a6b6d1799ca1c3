package org.citrontide.core.toml;

/**
 * A violation found in a TOML file. Immutable.
 *
 * @param file name of the file as given
 * @param line line number from 1, or 0 if the violation concerns the whole file
 * @param column column number from 1, or 0 if the violation concerns the whole file
 * @param key dotted key, empty for a syntax error
 * @param kind kind of the violation
 * @param found what was found in the file
 * @param expected what was expected in its place
 */
public record Violation(String file, int line, int column, String key, Kind kind, String found, String expected) {

    /** The kind of a violation; its lower-case name is the message key. */
    public enum Kind {
        /** The file is not valid TOML. */
        SYNTAX,
        /** The key is unknown. */
        UNKNOWN_KEY,
        /** A required key is missing. */
        MISSING_KEY,
        /** The value has the wrong type. */
        WRONG_TYPE,
        /** The value is outside its range. */
        OUT_OF_RANGE,
        /** Two parts of the file contradict each other. */
        CONTRADICTION
    }

    /**
     * Returns a one-line description of the violation for operators.
     *
     * @return description that starts with the position
     */
    public String text() {
        String at = line > 0 ? file + ":" + line + ":" + column : file;
        String what = key.isEmpty() ? "" : " " + key;
        return at + ":" + what + ": found " + found + ", expected " + expected;
    }
}
