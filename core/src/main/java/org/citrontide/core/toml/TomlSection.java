package org.citrontide.core.toml;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads typed values from a table of a TOML file and collects all violations with their positions.
 *
 * <p>Each read names the key, so that {@link #finish} can report the keys that were never read. A read that fails
 * returns a placeholder; {@link #finish} discards the result if there are violations. Not thread-safe.
 */
public final class TomlSection {
    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final String file;
    private final String prefix;
    private final TomlTable table;
    private final TomlPosition start;
    private final List<Violation> violations;
    private final Set<String> readKeys = new TreeSet<>();
    private final List<TomlSection> children = new ArrayList<>();

    private TomlSection(String file, String prefix, TomlTable table, TomlPosition start, List<Violation> violations) {
        this.file = file;
        this.prefix = prefix;
        this.table = table;
        this.start = start;
        this.violations = violations;
    }

    /**
     * Parses a file. Syntax errors become violations of the returned section.
     *
     * @param file name used in messages
     * @param text content of the file
     * @return the root table
     */
    public static TomlSection parse(String file, String text) {
        TomlParseResult result = Toml.parse(text);
        List<Violation> found = new ArrayList<>();
        result.errors()
                .forEach(e -> found.add(new Violation(
                        file,
                        e.position().line(),
                        e.position().column(),
                        "",
                        Violation.Kind.SYNTAX,
                        "\"" + firstLine(e.getMessage()) + "\"",
                        "valid TOML")));
        return new TomlSection(file, "", result, null, found);
    }

    /**
     * Reads a required string.
     *
     * @param key key in this table
     * @return the value, or an empty string after a violation
     */
    public String requireString(String key) {
        return optionalString(key).orElseGet(() -> reportMissing(key, "a string", ""));
    }

    /**
     * Reads an optional string.
     *
     * @param key key in this table
     * @return the value, or empty if the key is absent
     */
    public Optional<String> optionalString(String key) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (!(value instanceof String s)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), "a string");
            return Optional.of("");
        }
        if (s.isBlank()) {
            report(key, Violation.Kind.OUT_OF_RANGE, "an empty string", "a non-empty string");
        }
        return Optional.of(s);
    }

    /**
     * Reads an integer within a range.
     *
     * @param key key in this table
     * @param min minimum value
     * @param max maximum value
     * @param defaultValue default value if the key is absent
     * @return the value
     */
    public int integer(String key, int min, int max, int defaultValue) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        String expected = "an integer from " + min + " to " + max;
        if (!(value instanceof Long n)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), expected);
            return defaultValue;
        }
        if (n < min || n > max) {
            report(key, Violation.Kind.OUT_OF_RANGE, describe(value), expected);
            return defaultValue;
        }
        return n.intValue();
    }

    /**
     * Reads a required integer within a range.
     *
     * @param key key in this table
     * @param min minimum value
     * @param max maximum value
     * @return the value, or the minimum after a violation
     */
    public int requireInteger(String key, int min, int max) {
        if (table.get(List.of(key)) == null) {
            readKeys.add(key);
            return reportMissing(key, "an integer from " + min + " to " + max, min);
        }
        return integer(key, min, max, min);
    }

    /**
     * Reads a number within a range.
     *
     * @param key key in this table
     * @param min minimum value
     * @param max maximum value
     * @param defaultValue default value if the key is absent
     * @return the value
     */
    public double decimal(String key, double min, double max, double defaultValue) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        String expected = "a number from " + min + " to " + max;
        if (!(value instanceof Number n)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), expected);
            return defaultValue;
        }
        if (n.doubleValue() < min || n.doubleValue() > max) {
            report(key, Violation.Kind.OUT_OF_RANGE, describe(value), expected);
            return defaultValue;
        }
        return n.doubleValue();
    }

    /**
     * Reads a duration given as an integer of milliseconds.
     *
     * @param key key in this table
     * @param min minimum value in ms
     * @param max maximum value in ms
     * @param defaultValue default value in ms if the key is absent
     * @return the duration
     */
    public Duration milliseconds(String key, int min, int max, int defaultValue) {
        return Duration.ofMillis(integer(key, min, max, defaultValue));
    }

    /**
     * Reads an optional boolean.
     *
     * @param key key in this table
     * @param defaultValue default value if the key is absent
     * @return the value
     */
    public boolean bool(String key, boolean defaultValue) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Boolean b)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), "true or false");
            return defaultValue;
        }
        return b;
    }

    /**
     * Reads the lower-case name of an enum constant.
     *
     * @param <E> the enum type
     * @param key key in this table
     * @param type the enum type
     * @param defaultValue default value if the key is absent; empty makes the key required
     * @return the constant, or the first one after a violation
     */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type, Optional<E> defaultValue) {
        readKeys.add(key);
        E[] all = type.getEnumConstants();
        String expected = "one of "
                + String.join(
                        ", ", Arrays.stream(all).map(TomlSection::lowerCaseName).toList());
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue.orElseGet(() -> reportMissing(key, expected, all[0]));
        }
        for (E e : all) {
            if (lowerCaseName(e).equals(value)) {
                return e;
            }
        }
        report(key, Violation.Kind.OUT_OF_RANGE, describe(value), expected);
        return all[0];
    }

    /**
     * Reads a list of strings.
     *
     * @param key key in this table
     * @return the strings, empty if the key is absent
     */
    public List<String> strings(String key) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray a) || !a.toList().stream().allMatch(String.class::isInstance)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), "a list of strings");
            return List.of();
        }
        return a.toList().stream().map(String.class::cast).toList();
    }

    /**
     * Returns a table nested in this one.
     *
     * @param key key in this table
     * @return the table, or empty if the key is absent
     */
    public Optional<TomlSection> section(String key) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (!(value instanceof TomlTable t)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), "a table");
            return Optional.empty();
        }
        return Optional.of(child(prefix + key + ".", t, table.inputPositionOf(List.of(key))));
    }

    /**
     * Returns an array of tables.
     *
     * @param key key in this table
     * @return the tables in order, empty if the key is absent
     */
    public List<TomlSection> sections(String key) {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray a) || !a.toList().stream().allMatch(TomlTable.class::isInstance)) {
            report(key, Violation.Kind.WRONG_TYPE, describe(value), "an array of tables");
            return List.of();
        }
        List<TomlSection> list = new ArrayList<>();
        for (int i = 0; i < a.size(); i++) {
            list.add(child(prefix + key + "[" + i + "].", a.getTable(i), a.inputPositionOf(i)));
        }
        return list;
    }

    /**
     * Returns the keys of a table whose keys are user-defined names.
     *
     * @return the keys in alphabetical order; all of them count as read
     */
    public List<String> names() {
        readKeys.addAll(table.keySet());
        return table.keySet().stream().sorted().toList();
    }

    /**
     * Records a violation found by the caller.
     *
     * @param key key in this table
     * @param kind kind of the violation
     * @param found what was found in the file
     * @param expected what was expected
     */
    public void report(String key, Violation.Kind kind, String found, String expected) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        if (position == null) {
            position = start;
        }
        int line = position == null ? 0 : position.line();
        int column = position == null ? 0 : position.column();
        violations.add(new Violation(file, line, column, prefix + key, kind, found, expected));
    }

    /**
     * Ends the reading; keys that were never read are violations.
     *
     * @param <T> type of the value
     * @param build creates the value; called only if there are no violations
     * @return the value, or all violations
     */
    public <T> ValidationResult<T> finish(Supplier<T> build) {
        boolean parsed = violations.stream().noneMatch(v -> v.kind() == Violation.Kind.SYNTAX);
        if (parsed) {
            reportUnknownKeys();
        } else {
            violations.removeIf(v -> v.kind() != Violation.Kind.SYNTAX);
        }
        if (violations.isEmpty()) {
            return new ValidationResult<>(Optional.of(build.get()), List.of());
        }
        violations.sort(Comparator.comparingInt(Violation::line).thenComparingInt(Violation::column));
        return new ValidationResult<>(Optional.empty(), violations);
    }

    private void reportUnknownKeys() {
        for (String key : table.keySet()) {
            if (!readKeys.contains(key)) {
                report(key, Violation.Kind.UNKNOWN_KEY, "unknown key", suggestion(key));
            }
        }
        children.forEach(TomlSection::reportUnknownKeys);
    }

    private String suggestion(String key) {
        LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
        return readKeys.stream()
                .min(Comparator.comparingInt(k -> distance.apply(k, key)))
                .filter(k -> distance.apply(k, key) <= MAX_SUGGESTION_DISTANCE)
                .map(k -> "\"" + k + "\"")
                .orElse("one of " + String.join(", ", readKeys));
    }

    private TomlSection child(String path, TomlTable nested, TomlPosition position) {
        TomlSection c = new TomlSection(file, path, nested, position, violations);
        children.add(c);
        return c;
    }

    private <T> T reportMissing(String key, String expected, T placeholder) {
        report(key, Violation.Kind.MISSING_KEY, "nothing", expected);
        return placeholder;
    }

    private static String lowerCaseName(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT);
    }

    private static String describe(Object value) {
        return switch (value) {
            case String s -> "\"" + s + "\"";
            case TomlTable t -> "a table";
            case TomlArray a -> "a list";
            default -> value.toString();
        };
    }

    private static String firstLine(String s) {
        return s == null ? "" : s.lines().findFirst().orElse("");
    }
}
