package org.citrontide.gateway.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.citrontide.core.toml.TomlSection;

/**
 * The settings on the zones of upstreams. Immutable.
 *
 * @param regionByZone region of each zone whose region is known
 * @param evacuationLimit time within which the evacuation of a zone must be in force, empty if only the limit on all
 *     changes applies
 */
public record LocalitySettings(Map<String, String> regionByZone, Optional<Duration> evacuationLimit) {
    /** No zone has a known region, and no limit applies to evacuations alone. */
    public static final LocalitySettings NONE = new LocalitySettings(Map.of(), Optional.empty());

    private static final String LIMIT_KEY = "evacuate_limit_ms";
    private static final int MAX_LIMIT_MS = 60_000;
    // The lowest limit on all changes: with a shorter one, reads without a pause would load the store.
    private static final Duration MIN_LIMIT = Duration.ofSeconds(1);

    /** Copies the map. */
    public LocalitySettings {
        regionByZone = Map.copyOf(regionByZone);
    }

    /** Reads the settings from the root table of a settings file. */
    static LocalitySettings read(TomlSection root) {
        Map<String, String> regions = new TreeMap<>();
        root.section("zones")
                .ifPresent(zones -> zones.names().forEach(zone -> regions.put(zone, zones.requireString(zone))));
        Duration limit = root.milliseconds(LIMIT_KEY, 0, MAX_LIMIT_MS, 0);
        return new LocalitySettings(regions, Optional.of(limit).filter(Duration::isPositive));
    }

    /** Returns the time within which a change of the store must be passed on. */
    Duration shortestLimit(Duration changeLimit) {
        return evacuationLimit
                .map(limit -> limit.compareTo(MIN_LIMIT) < 0 ? MIN_LIMIT : limit)
                .filter(limit -> limit.compareTo(changeLimit) < 0)
                .orElse(changeLimit);
    }
}
