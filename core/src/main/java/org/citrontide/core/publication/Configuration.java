package org.citrontide.core.publication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.citrontide.core.toml.ValidationResult;
import org.citrontide.core.toml.Violation;

/**
 * A version of the whole configuration: all published files, validated. Immutable.
 *
 * @param version number of the version, which increases with each publication
 * @param files the files by name
 * @param services services by name
 * @param teamsByTokenHash team names by the SHA-256 of their tokens
 */
public record Configuration(
        long version,
        Map<String, FileText> files,
        Map<String, ServiceFile> services,
        Map<String, String> teamsByTokenHash) {

    /**
     * The content of a file at a version. Immutable.
     *
     * @param version version of the configuration that last changed the file
     * @param text content of the file
     */
    public record FileText(long version, String text) {}

    /** The empty configuration of a process that has not installed one yet. */
    public static final Configuration NONE = new Configuration(0, Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public Configuration {
        files = Map.copyOf(files);
        services = Map.copyOf(services);
        teamsByTokenHash = Map.copyOf(teamsByTokenHash);
    }

    /**
     * Validates a set of files as one configuration.
     *
     * @param version number of the version
     * @param files the files by name
     * @return the configuration, or the violations of all files
     */
    public static ValidationResult<Configuration> check(long version, Map<String, FileText> files) {
        List<Violation> violations = new ArrayList<>();
        Map<String, ServiceFile> services = new HashMap<>();
        Map<String, String> teams = new HashMap<>();
        for (Map.Entry<String, FileText> e : new TreeMap<>(files).entrySet()) {
            ValidationResult<PublishedFile> checked =
                    FileCheck.check(e.getKey(), e.getValue().text());
            violations.addAll(checked.violations());
            checked.value().ifPresent(f -> add(e.getKey(), f, services, teams, violations));
        }
        if (!violations.isEmpty()) {
            return new ValidationResult<>(Optional.empty(), violations);
        }
        return new ValidationResult<>(Optional.of(new Configuration(version, files, services, teams)), List.of());
    }

    private static void add(
            String file,
            PublishedFile published,
            Map<String, ServiceFile> services,
            Map<String, String> teams,
            List<Violation> violations) {
        switch (published) {
            case ServiceFile s -> {
                if (services.put(s.service(), s) != null) {
                    violations.add(duplicate(file, "service", "duplicate \"" + s.service() + "\""));
                }
            }
            case TeamsFile t ->
                t.teamsByTokenHash().forEach((hash, team) -> {
                    if (teams.put(hash, team) != null) {
                        violations.add(duplicate(file, "teams", "a duplicate token of team \"" + team + "\""));
                    }
                });
        }
    }

    private static Violation duplicate(String file, String key, String found) {
        return new Violation(file, 0, 0, key, Violation.Kind.CONTRADICTION, found, "a value unique across all files");
    }
}
