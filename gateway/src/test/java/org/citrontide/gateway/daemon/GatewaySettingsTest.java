package org.citrontide.gateway.daemon;

import java.time.Duration;

import org.citrontide.core.toml.TomlSection;
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
