package org.citrontide.gateway.daemon;

import java.util.Optional;

import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.Violation;

/** Reads the settings on the placement of requests. Stateless. */
final class PlacementSettingsReader {
    private static final String RULE_KEY = "placement";
    private static final String LATENCY_KEY = "placement_latency";

    private PlacementSettingsReader() {}

    static PlacementSettings read(TomlSection root) {
        boolean isExpectedCost = readChoice(root, RULE_KEY, "counted-requests", "expected-cost", false);
        // As measured, the latency would outweigh the work of streams, as their lengths differ more than the loads.
        boolean isRelative = readChoice(root, LATENCY_KEY, "measured", "relative", isExpectedCost);
        PlacementSettings.Rule rule =
                isExpectedCost ? PlacementSettings.Rule.EXPECTED_COST : PlacementSettings.Rule.COUNTED_REQUESTS;
        return new PlacementSettings(rule, isRelative);
    }

    /** Returns whether the second of two values is given, or the default if none is. */
    private static boolean readChoice(TomlSection root, String key, String first, String second, boolean defaultValue) {
        Optional<String> value = root.optionalString(key);
        if (value.isPresent() && !value.get().equals(first) && !value.get().equals(second)) {
            root.report(key, Violation.Kind.OUT_OF_RANGE, value.get(), "one of " + first + ", " + second);
        }
        return value.map(second::equals).orElse(defaultValue);
    }
}
