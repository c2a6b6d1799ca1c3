package org.citrontide.dist;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks that the tests left out of the build are exactly those listed in KNOWN-RED.txt. */
final class KnownRedTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern TAGGED_METHOD =
            Pattern.compile("@Tag\\(\"known-red\"\\)(?:\\s*@\\w+(?:\\([^)]*\\))?)*\\s*void (\\w+)\\(");
    private static final Pattern ENTRY = Pattern.compile("(?m)^(\\w+\\.\\w+)$");

    @Test
    void theTestsLeftOutAreThoseListed() throws IOException {
        Path list = ROOT.resolve("KNOWN-RED.txt");
        Set<String> listed = new TreeSet<>();
        if (Files.exists(list)) {
            ENTRY.matcher(Files.readString(list)).results().forEach(r -> listed.add(r.group(1)));
        }
        assertEquals(listed, findTagged());
    }

    private static Set<String> findTagged() throws IOException {
        Set<String> tagged = new TreeSet<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<Path> tests = files.filter(f -> f.toString().endsWith("Test.java"))
                    .filter(f -> f.toString().contains("/src/test/"))
                    .toList();
            for (Path test : tests) {
                String className = test.getFileName().toString().replace(".java", "");
                Matcher m = TAGGED_METHOD.matcher(Files.readString(test));
                while (m.find()) {
                    tagged.add(className + "." + m.group(1));
                }
            }
        }
        return tagged;
    }
}
