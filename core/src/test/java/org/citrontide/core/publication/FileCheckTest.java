package org.citrontide.core.publication;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.citrontide.core.toml.ValidationResult;
import org.citrontide.core.toml.Violation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that each violation in a file is reported with its position. The input files are resources of this package. */
final class FileCheckTest {
    @Test
    void validFileIsParsed() throws IOException {
        ServiceFile f = (ServiceFile) check("valid").value().orElseThrow();
        assertEquals("roster", f.service());
        assertEquals(15, f.classes().get(Urgency.DAILY).guaranteedPercent());
        assertEquals(2, f.weight("estate-office"));
        assertTrue(f.findRule("POST", "/v1/chat/completions").orElseThrow().isRepeatable());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "syntax|2:10|SYNTAX",
                "unknown-key|9:1|UNKNOWN_KEY",
                "missing-service|0:0|MISSING_KEY",
                "wrong-type|9:1|WRONG_TYPE",
                "out-of-range|9:1|OUT_OF_RANGE",
                "too-many-percent|8:1|CONTRADICTION",
                "window-too-short|8:1|CONTRADICTION",
                "bad-method|5:1|OUT_OF_RANGE"
            })
    void violationIsReportedAtItsPosition(String name, String position, Violation.Kind kind) throws IOException {
        List<Violation> found = check(name).violations();
        assertEquals(1, found.size(), found.toString());
        Violation v = found.getFirst();
        assertEquals(kind, v.kind(), v.text());
        assertEquals(position, v.line() + ":" + v.column(), v.text());
    }

    @Test
    void allViolationsAreReportedAtOnce() throws IOException {
        assertEquals(4, check("four-mistakes").violations().size());
    }

    @Test
    void unknownKeySuggestsTheClosestKey() throws IOException {
        assertEquals(
                "unknown-key.toml:9:1: limits.queue_lenght: found unknown key, expected \"queue_length\"",
                check("unknown-key").violations().getFirst().text());
    }

    private static ValidationResult<PublishedFile> check(String name) throws IOException {
        String file = name + ".toml";
        try (InputStream in = FileCheckTest.class.getResourceAsStream(file)) {
            return FileCheck.check(file, new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
