package org.citrontide.gateway.daemon;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.warmup.ColdSettings;

/** Reads the settings on cold upstreams. Stateless. */
final class ColdSettingsReader {
    private static final double MAX_OVERAGE = 100;
    private static final double MAX_SLACK = 1_000_000;

    private ColdSettingsReader() {}

    static ColdSettings read(TomlSection root) {
        ColdSettings defaults = ColdSettings.STRICT;
        return new ColdSettings(
                root.decimal("cold_overage", 0, MAX_OVERAGE, defaults.overage()),
                root.decimal("cold_slack", 0, MAX_SLACK, defaults.slack()));
    }
}
