package org.citrontide.gateway.daemon;

import java.time.Duration;

import io.netty.util.internal.PlatformDependent;
import org.citrontide.core.memory.MemoryBounds;
import org.citrontide.core.memory.ProgressRule;
import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.Violation;

/**
 * The settings that bound the memory and time that callers can take. Immutable.
 *
 * @param callerBytes memory for requests of callers in bytes
 * @param outputBytes memory in bytes for output that callers have not read
 * @param bodyTime time that a request body may take, whatever its rate
 * @param maxBodyTime time that a request body may take at most
 * @param minBodyRate bytes per second on average that a body must arrive with to take longer than {@code bodyTime}
 * @param lagBound lag of the event loop from which on it is logged
 */
public record MemorySettings(
        long callerBytes,
        long outputBytes,
        Duration bodyTime,
        Duration maxBodyTime,
        int minBodyRate,
        Duration lagBound) {
    private static final int BYTES_PER_KB = 1024;
    private static final int MAX_KB = 1024 * 1024 * 1024;
    private static final int MIN_CALLER_KB = 64;
    private static final int CALLER_HEAP_DIVISOR = 4;
    // A body of 4 MiB and a head of 4,000 lines, 5.2 MB, stay below three quarters of it, which one connection may
    // have.
    private static final long MIN_DEFAULT_CALLER_KB = 8 * 1024;
    private static final int OUTPUT_HEAP_DIVISOR = 16;
    private static final int OUTPUT_DIRECT_DIVISOR = 4;
    private static final int MAX_OUTPUT_DIRECT_DIVISOR = 2;
    // The last quarter holds the store's entries, the state of the dispatcher, and garbage between two collections.
    private static final int HEAP_QUARTERS = 3;
    private static final int QUARTERS = 4;
    private static final int MAX_TIME_MS = 86_400_000;
    // Longer than any caller waits for a response, so that no caller within the limits meets it.
    private static final int DEFAULT_BODY_MS = 60_000;
    private static final int DEFAULT_MAX_BODY_MS = 600_000;
    private static final int MAX_RATE = 1_000_000_000;
    private static final int DEFAULT_RATE = 1024;
    private static final int MAX_LAG_MS = 60_000;
    // A fifth of the time in which callers expect their request to be read.
    private static final int DEFAULT_LAG_MS = 200;

    /**
     * Reads the settings, and checks them against the heap and the direct memory of this process.
     *
     * @param root the root table, which collects the violations
     * @param responseBytes memory for responses of upstreams in bytes
     * @return the settings, valid only if no violation was reported
     */
    static MemorySettings read(TomlSection root, long responseBytes) {
        return read(root, responseBytes, Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
    }

    static MemorySettings read(TomlSection root, long responseBytes, long heapBytes, long directBytes) {
        long allowedBytes = heapBytes / QUARTERS * HEAP_QUARTERS;
        long defaultOutput = Math.min(heapBytes / OUTPUT_HEAP_DIVISOR, directBytes / OUTPUT_DIRECT_DIVISOR);
        long outputBytes = readKb(root, "unread_output_kb", 1, defaultOutput);
        long wanted = Math.max(heapBytes / CALLER_HEAP_DIVISOR, MIN_DEFAULT_CALLER_KB * BYTES_PER_KB);
        long callerBytes = readKb(
                root, "caller_memory_kb", MIN_CALLER_KB, Math.min(wanted, allowedBytes - responseBytes - outputBytes));
        long sum = callerBytes + responseBytes + outputBytes;
        if (sum > allowedBytes) {
            root.report(
                    "caller_memory_kb",
                    Violation.Kind.OUT_OF_RANGE,
                    sum / BYTES_PER_KB + " KB for callers, responses and output",
                    "at most " + allowedBytes / BYTES_PER_KB + " KB, three quarters of the heap");
        }
        if (outputBytes > directBytes / MAX_OUTPUT_DIRECT_DIVISOR) {
            root.report(
                    "unread_output_kb",
                    Violation.Kind.OUT_OF_RANGE,
                    outputBytes / BYTES_PER_KB + " KB",
                    "at most " + directBytes / MAX_OUTPUT_DIRECT_DIVISOR / BYTES_PER_KB
                            + " KB, half of the direct memory");
        }
        return new MemorySettings(
                callerBytes,
                outputBytes,
                root.milliseconds("body_time_ms", 1, MAX_TIME_MS, DEFAULT_BODY_MS),
                root.milliseconds("max_body_time_ms", 1, MAX_TIME_MS, DEFAULT_MAX_BODY_MS),
                root.integer("min_body_rate", 0, MAX_RATE, DEFAULT_RATE),
                root.milliseconds("loop_lag_ms", 1, MAX_LAG_MS, DEFAULT_LAG_MS));
    }

    /**
     * Returns the bounds of the memory ledger.
     *
     * @param responseBytes memory for responses of upstreams in bytes
     * @return the bounds
     */
    MemoryBounds bounds(long responseBytes) {
        return MemoryBounds.of(callerBytes, responseBytes, outputBytes);
    }

    /**
     * Returns the rule for the time of incomplete bodies.
     *
     * @return the rule
     */
    ProgressRule progressRule() {
        return new ProgressRule(bodyTime, maxBodyTime, minBodyRate);
    }

    private static long readKb(TomlSection root, String key, int min, long defaultBytes) {
        int defaultKb = Math.clamp(defaultBytes / BYTES_PER_KB, min, MAX_KB);
        return (long) root.integer(key, min, MAX_KB, defaultKb) * BYTES_PER_KB;
    }
}
