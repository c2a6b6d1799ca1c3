package org.citrontide.gateway.daemon;

import org.citrontide.core.expertmap.ControlCosts;
import org.citrontide.core.toml.TomlSection;

/** Reads the section {@code map_control}: the prices of the control of expert maps. */
final class ControlCostSettings {
    // Ten times the price of a second of a rank; a higher price would allow no control at all.
    private static final double MAX_MICROS = 10_000_000;
    private static final double MAX_MILLIS = 10_000;

    private ControlCostSettings() {}

    /** Returns the prices; a price that is absent is 0, and without any the decision by price is off. */
    static ControlCosts read(TomlSection root) {
        return root.section("map_control")
                .map(s -> new ControlCosts(
                        s.decimal("rank_us_per_count", 0, MAX_MICROS, 0),
                        s.decimal("rank_ms_per_order", 0, MAX_MILLIS, 0),
                        s.decimal("rank_ms_per_gb", 0, MAX_MILLIS, 0)))
                .orElse(ControlCosts.NONE);
    }
}
