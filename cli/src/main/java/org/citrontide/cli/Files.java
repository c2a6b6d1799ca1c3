package org.citrontide.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.citrontide.core.publication.Configuration;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.core.toml.Violation;

/** Reads settings and service files. Stateless. */
final class Files {
    private static final String SUFFIX = ".toml";

    private Files() {}

    /** Reads the TOML files of a directory by name. */
    static Map<String, String> directory(String operand) throws IOException, Command.UsageException {
        Path dir = Path.of(operand);
        if (!java.nio.file.Files.isDirectory(dir)) {
            throw new Command.UsageException("\"" + operand + "\" is no directory");
        }
        Map<String, String> texts = new TreeMap<>();
        try (Stream<Path> list = java.nio.file.Files.list(dir)) {
            for (Path p : list.filter(p -> p.toString().endsWith(SUFFIX)).toList()) {
                texts.put(p.getFileName().toString(), java.nio.file.Files.readString(p));
            }
        }
        if (texts.isEmpty()) {
            throw new Command.UsageException("\"" + operand + "\" holds no " + SUFFIX + " file");
        }
        return texts;
    }

    /** Reads a settings file. */
    static String settings(String operand) throws Command.UsageException {
        try {
            return java.nio.file.Files.readString(Path.of(operand));
        } catch (IOException e) {
            throw new Command.UsageException("can't read \"" + operand + "\": " + e.getMessage());
        }
    }

    /** Validates files as one configuration. */
    static ValidationResult<Configuration> check(Map<String, String> texts) {
        Map<String, Configuration.FileText> files = new TreeMap<>();
        texts.forEach((name, text) -> files.put(name, new Configuration.FileText(1, text)));
        return Configuration.check(1, files);
    }

    /** Prints mistakes, one a line. */
    static void print(List<Violation> violations) {
        violations.forEach(v -> System.err.println(v.text()));
    }
}
