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

/** Reads settings files and service files. Stateless. */
final class InputFiles {
    private static final String FILE_SUFFIX = ".toml";

    private InputFiles() {}

    /** Returns the contents of the TOML files in a directory, by file name. */
    static Map<String, String> readDirectory(String path) throws IOException, Command.UsageException {
        Path dir = Path.of(path);
        if (!java.nio.file.Files.isDirectory(dir)) {
            throw new Command.UsageException("\"" + path + "\" is not a directory");
        }
        Map<String, String> texts = new TreeMap<>();
        try (Stream<Path> list = java.nio.file.Files.list(dir)) {
            for (Path p : list.filter(p -> p.toString().endsWith(FILE_SUFFIX)).toList()) {
                texts.put(p.getFileName().toString(), java.nio.file.Files.readString(p));
            }
        }
        if (texts.isEmpty()) {
            throw new Command.UsageException("\"" + path + "\" contains no " + FILE_SUFFIX + " file");
        }
        return texts;
    }

    /** Returns the content of a settings file. */
    static String readSettings(String path) throws Command.UsageException {
        try {
            return java.nio.file.Files.readString(Path.of(path));
        } catch (IOException e) {
            throw new Command.UsageException("can't read \"" + path + "\": " + e.getMessage());
        }
    }

    /** Validates the service files together as one configuration. */
    static ValidationResult<Configuration> validate(Map<String, String> texts) {
        Map<String, Configuration.FileText> files = new TreeMap<>();
        texts.forEach((name, text) -> files.put(name, new Configuration.FileText(1, text)));
        return Configuration.check(1, files);
    }

    /** Prints violations to standard error, one per line. */
    static void printViolations(List<Violation> violations) {
        violations.forEach(v -> System.err.println(v.text()));
    }
}
