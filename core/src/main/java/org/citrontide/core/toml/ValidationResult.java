package org.citrontide.core.toml;

import java.util.List;
import java.util.Optional;

/**
 * A value read from a file, or all the violations that prevented it from being read. Immutable.
 *
 * <p>Invariant: there is a value if and only if there are no violations.
 *
 * @param <T> type of the value
 * @param value the value, empty if there are violations
 * @param violations the violations in order of position
 */
public record ValidationResult<T>(Optional<T> value, List<Violation> violations) {

    /**
     * Copies the list and checks the invariant.
     *
     * @throws IllegalArgumentException if both a value and violations are given, or neither
     */
    public ValidationResult {
        violations = List.copyOf(violations);
        if (value.isPresent() != violations.isEmpty()) {
            throw new IllegalArgumentException("either a value or violations must be present, but not both");
        }
    }
}
