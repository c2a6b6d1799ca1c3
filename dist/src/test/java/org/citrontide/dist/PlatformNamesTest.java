package org.citrontide.dist;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks that the names of the platform's protocol occur in the adapter and in its stand-in only. */
final class PlatformNamesTest {
    private static final Path TOP = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern NAMES =
            Pattern.compile("kv-(key|range|watch|txn|lease|keep)|/-/|Citrontide-(Attempt-Id"
                    + "|Deadline-Ms|Response-Stamp|Not-Executed|Expect-|Tenant|Request-Priority|Token-Count"
                    + "|Prompt-Prefix"
                    + "|Length-Hint|Instance-Id|Model|Weight)|At-Server|api_keys|heartbeat_ms|traffic_split|can_resume"
                    + "|target_latency_ms|cold_remaining_ms|kv_capacity_tokens|fencing_token|op/config|\"servers/");
    private static final List<String> PRODUCTION =
            List.of("core", "wire", "runtime", "store", "gateway", "entry", "sidecar", "cli");

    @Test
    void noOtherModuleUsesThem() throws IOException {
        List<String> found = new ArrayList<>();
        for (String module : PRODUCTION) {
            try (Stream<Path> files = Files.walk(TOP.resolve(module).resolve("src/main/java"))) {
                for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                    if (NAMES.matcher(Files.readString(f)).find()) {
                        found.add(TOP.relativize(f).toString());
                    }
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
