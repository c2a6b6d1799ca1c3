package org.citrontide.core.toml;

import java.util.List;
import java.util.Optional;

/**
 * A value read from a file, or all the mistakes that kept it from being read. Immutable.
 *
 * <p>Invariant: there is a value exactly if there are no violations.
 *
 * @param <T> type of the value
 * @param value the value
 * @param violations the mistakes in order of their position
 */
public record Checked<T>(Optional<T> value, List<Violation> violations) {

    /**
     * Copies the list and checks the invariant.
     *
     * @throws IllegalArgumentException if a value comes with violations, or neither is given
     */
    public Checked {
        violations = List.copyOf(violations);
        if (value.isPresent() != violations.isEmpty()) {
            throw new IllegalArgumentException("a value excludes violations, and one of them must be present");
        }
    }
}
