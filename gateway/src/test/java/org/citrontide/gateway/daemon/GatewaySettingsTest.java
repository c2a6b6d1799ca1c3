package org.citrontide.gateway.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.citrontide.core.costing.PlacementSettings;
import org.citrontide.core.expertmap.ControlCosts;
import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.warmup.ColdSettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class GatewaySettingsTest {
    private static final long MEGABYTE = 1024 * 1024;
    private static final String REQUIRED = """
            vm = "vm1"
            zone = "z1"
            caller_address = "127.0.0.1:8001"
            admin_address = "127.0.0.1:8002"
            store_address = "127.0.0.1:8003"
            """;

    // Guards against a process that is killed while it still waits for its requests.
    @Test
    void aStopEndsBeforeTheProcessIsKilled() {
        assertEquals(Duration.ofMillis(7500), stopLimit("kill_after_s = 8\n"));
        assertEquals(Duration.ofMillis(4500), stopLimit("kill_after_s = 5\n"));
        assertEquals(Duration.ofMillis(19_750), stopLimit("kill_after_s = 20.25\n"));
        assertEquals(Duration.ofMillis(3000), stopLimit("kill_after_s = 8\nstop_limit_ms = 3000\n"));
        assertEquals(Duration.ofMillis(4500), stopLimit("kill_after_s = 5\nstop_limit_ms = 9000\n"));
        assertEquals(Duration.ofMillis(8000), stopLimit(""));
    }

    @Test
    void aTimeUntilTheKillThatIsTooShortIsAViolation() {
        assertTrue(GatewaySettings.parse("f", REQUIRED + "kill_after_s = 0.4\n")
                .value()
                .isEmpty());
    }

    // Guards against a region map that is lost, and against a template that renders an unusable file.
    @Test
    void theRegionsOfZonesAreReadFromOneKeyForEachZone() {
        String lines = "zones.\"z1\" = \"north\"\nzones.\"eu west-1.a\" = \"south\"\nevacuate_limit_ms = 5000\n";
        LocalitySettings locality = locality(lines);
        assertEquals(Map.of("z1", "north", "eu west-1.a", "south"), locality.regionByZone());
        assertEquals(Optional.of(Duration.ofSeconds(5)), locality.evacuationLimit());
        assertEquals(Duration.ofSeconds(2), locality.shortestLimit(Duration.ofSeconds(2)));
        assertEquals(Duration.ofSeconds(5), locality.shortestLimit(Duration.ofSeconds(9)));
        assertEquals(Duration.ofSeconds(1), locality("evacuate_limit_ms = 5\n").shortestLimit(Duration.ofSeconds(2)));
        assertEquals(LocalitySettings.NONE, locality(""));
        assertEquals(LocalitySettings.NONE, locality("evacuate_limit_ms = 0\n"));
        assertTrue(GatewaySettings.parse("f", REQUIRED + "zones.\"z1\" = 3\n")
                .value()
                .isEmpty());
    }

    // Guards against prices that take effect in a deployment whose settings don't ask for them.
    @Test
    void controlOfExpertMapsIsPricedOnlyIfTheSettingsSaySo() {
        assertEquals(ControlCosts.NONE, controlCosts(""));
        assertEquals(ControlCosts.NONE, controlCosts("[map_control]\nrank_us_per_count = 0\n"));
        assertEquals(
                ControlCosts.MEASURED,
                controlCosts("[map_control]\nrank_us_per_count = 80\nrank_ms_per_order = 10\nrank_ms_per_gb = 25\n"));
    }

    @Test
    void aNegativePriceIsAViolation() {
        assertTrue(GatewaySettings.parse("f", REQUIRED + "[map_control]\nrank_ms_per_gb = -1\n")
                .value()
                .isEmpty());
    }

    // Guards against a deployment without the bounds that gets an excess which it doesn't allow.
    @Test
    void theExcessOverTheRatesOfColdUpstreamsIsReadWhereItIsGiven() {
        assertEquals(new ColdSettings(1.5, 5), cold("cold_overage = 1.5\ncold_slack = 5\n"));
        assertEquals(new ColdSettings(2, 0), cold("cold_overage = 2\n"));
        assertEquals(ColdSettings.STRICT, cold(""));
        assertTrue(GatewaySettings.parse("f", REQUIRED + "cold_slack = -1\n")
                .value()
                .isEmpty());
    }

    // Guards against a deployment that gets another placement than it asks for.
    @Test
    void thePlacementIsReadWhereItIsGiven() {
        PlacementSettings.Rule expected = PlacementSettings.Rule.EXPECTED_COST;
        assertEquals(PlacementSettings.COUNTED, placement(""));
        assertEquals(PlacementSettings.COUNTED, placement("placement = \"counted-requests\"\n"));
        assertEquals(new PlacementSettings(expected, true), placement("placement = \"expected-cost\"\n"));
        assertEquals(
                new PlacementSettings(expected, false),
                placement("placement = \"expected-cost\"\nplacement_latency = \"measured\"\n"));
        assertEquals(
                new PlacementSettings(PlacementSettings.Rule.COUNTED_REQUESTS, true),
                placement("placement_latency = \"relative\"\n"));
        assertTrue(GatewaySettings.parse("f", REQUIRED + "placement = \"random\"\n")
                .value()
                .isEmpty());
    }

    private static PlacementSettings placement(String lines) {
        return GatewaySettings.parse("f", REQUIRED + lines)
                .value()
                .orElseThrow()
                .placement();
    }

    private static LocalitySettings locality(String lines) {
        return GatewaySettings.parse("f", REQUIRED + lines)
                .value()
                .orElseThrow()
                .locality();
    }

    private static ColdSettings cold(String lines) {
        return GatewaySettings.parse("f", REQUIRED + lines)
                .value()
                .orElseThrow()
                .cold();
    }

    private static ControlCosts controlCosts(String lines) {
        return GatewaySettings.parse("f", REQUIRED + lines)
                .value()
                .orElseThrow()
                .controlCosts();
    }

    // Guards against defaults that don't fit into the heap of a deployment, or that no body of 4 MiB fits into.
    @Test
    void theDefaultsOfMemoryFitIntoTheHeapAndLeaveRoomForTheLargestBody() {
        for (long heapMegabytes : new long[] {24, 32, 48, 64, 128, 1024}) {
            long heap = heapMegabytes * MEGABYTE;
            TomlSection root = TomlSection.parse("f", "");
            MemorySettings memory = MemorySettings.read(root, heap / 3, heap, 24 * MEGABYTE);
            assertTrue(root.finish(() -> memory).value().isPresent(), heapMegabytes + " MB");
            assertTrue(memory.callerBytes() * 3 / 4 > 5.5 * MEGABYTE, heapMegabytes + " MB");
        }
    }

    // Guards against a process that starts with bounds which its heap or direct memory can't hold.
    @Test
    void boundsBeyondTheHeapOrTheDirectMemoryAreViolations() {
        long heap = 64 * MEGABYTE;
        for (String line : new String[] {"caller_memory_kb = 40000", "unread_output_kb = 12289"}) {
            TomlSection root = TomlSection.parse("f", line);
            MemorySettings memory = MemorySettings.read(root, heap / 3, heap, 24 * MEGABYTE);
            assertTrue(root.finish(() -> memory).value().isEmpty(), line);
        }
    }

    private static Duration stopLimit(String lines) {
        return GatewaySettings.parse("f", REQUIRED + lines)
                .value()
                .orElseThrow()
                .stopLimit();
    }
}
