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

/** Checks that the names of the platform's protocol occur only in the adapter module and in the fakes. */
final class PlatformNamesTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern PLATFORM_NAMES =
            Pattern.compile("kv-(key|range|watch|txn|lease|keep)|/-/|Citrontide-(Attempt-Id"
                    + "|Deadline-Ms|Response-Stamp|Not-Executed|Expect-|Tenant|Request-Priority|Token-Count"
                    + "|Prompt-Prefix"
                    + "|Length-Hint|Instance-Id|Model|Weight)|At-Server|Server-Limit"
                    + "|api_keys|heartbeat_ms|traffic_split|can_resume"
                    + "|target_latency_ms|cold_remaining_ms|kv_capacity_tokens|fencing_token|op/config|\"servers/");
    private static final List<String> CHECKED_MODULES =
            List.of("core", "wire", "runtime", "store", "gateway", "entry", "sidecar", "cli");

    @Test
    void noOtherModuleUsesPlatformNames() throws IOException {
        List<String> found = new ArrayList<>();
        for (String module : CHECKED_MODULES) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
                for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                    if (PLATFORM_NAMES.matcher(Files.readString(f)).find()) {
                        found.add(ROOT.relativize(f).toString());
                    }
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
