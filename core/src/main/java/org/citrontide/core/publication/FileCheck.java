package org.citrontide.core.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import org.citrontide.core.claim.ClaimLedger;
import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.core.toml.Violation;

/**
 * Validates the files that operators publish. Both the {@code check} command and each process that installs a
 * configuration use this class, so that an invalid file is never put in force.
 *
 * <p>Stateless and thread-safe.
 */
public final class FileCheck {
    /** Maximum size of a file in bytes. */
    public static final int MAX_FILE_BYTES = 64 * 1024;

    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final String EXPECTED_NAME = "a name of lower-case letters, digits and hyphens, 63 at most";
    private static final List<String> ALLOWED_METHODS = List.of("GET", "POST", "PUT", "DELETE");
    private static final String DEFAULT_METHOD = "POST";
    private static final int MAX_TEAM_WEIGHT = 1000;
    private static final int MAX_TARGET_MS = 86_400_000;
    private static final int DEFAULT_LIVE_TARGET_MS = 1_800;
    private static final int DEFAULT_DAILY_TARGET_MS = 60_000;
    private static final int DEFAULT_OVERNIGHT_TARGET_MS = 3_600_000;
    private static final int DEFAULT_DAILY_PERCENT = 10;
    private static final int DEFAULT_OVERNIGHT_PERCENT = 5;
    private static final int MAX_PERCENT = 100;
    private static final int MIN_TIMEOUT_MS = 10;
    private static final int DEFAULT_TIMEOUT_MS = 60_000;
    private static final int MIN_WINDOW_S = 60;
    private static final int MAX_WINDOW_S = 2_592_000;
    private static final int DEFAULT_WINDOW_S = 86_400;
    private static final int MAX_QUEUE_LENGTH = 100_000;
    private static final int DEFAULT_QUEUE_LENGTH = 200;
    private static final int MAX_SLOTS = 10_000;
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_LIVE_SLOTS_DIVISOR = 4;
    private static final int DEFAULT_RETRY_PERCENT = 10;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

    private FileCheck() {}

    /**
     * Validates a file.
     *
     * @param file name used in messages
     * @param text content of the file
     * @return the parsed file, or all of its violations
     */
    public static ValidationResult<PublishedFile> check(String file, String text) {
        if (text.length() > MAX_FILE_BYTES) {
            Violation violation = new Violation(
                    file,
                    0,
                    0,
                    "",
                    Violation.Kind.OUT_OF_RANGE,
                    text.length() + " bytes",
                    "at most " + MAX_FILE_BYTES + " bytes");
            return new ValidationResult<>(Optional.empty(), List.of(violation));
        }
        TomlSection root = TomlSection.parse(file, text);
        FileKind kind = root.enumValue("kind", FileKind.class, Optional.empty());
        return switch (kind) {
            case MODEL -> serviceFile(root, ServiceFile.Kind.MODEL);
            case PLAIN -> serviceFile(root, ServiceFile.Kind.PLAIN);
            case TEAMS -> teamsFile(root);
        };
    }

    private static ValidationResult<PublishedFile> serviceFile(TomlSection root, ServiceFile.Kind kind) {
        String name = requireName(root, "service");
        List<CallRule> calls = new ArrayList<>();
        root.sections("calls").forEach(s -> calls.add(callRule(s)));
        if (calls.isEmpty()) {
            root.report("calls", Violation.Kind.MISSING_KEY, "no call", "at least one [[calls]] table");
        }
        Map<Urgency, ClassRule> classes = classes(root);
        Map<String, Integer> weights = teamWeights(root);
        ServiceFile.Limits limits = limits(root);
        return root.finish(() -> new ServiceFile(name, kind, calls, classes, weights, limits));
    }

    private static CallRule callRule(TomlSection section) {
        String method = section.optionalString("method").orElse(DEFAULT_METHOD);
        if (!ALLOWED_METHODS.contains(method)) {
            section.report(
                    "method",
                    Violation.Kind.OUT_OF_RANGE,
                    "\"" + method + "\"",
                    "one of " + String.join(", ", ALLOWED_METHODS));
        }
        String path = section.requireString("path");
        if (!path.isEmpty() && !path.startsWith("/")) {
            section.report("path", Violation.Kind.OUT_OF_RANGE, "\"" + path + "\"", "a path that begins with /");
        }
        boolean isRepeatable = section.bool("repeatable", false);
        Urgency urgency = section.enumValue("urgency", Urgency.class, Optional.of(Urgency.LIVE));
        return new CallRule(method, path, isRepeatable, urgency);
    }

    private static Map<Urgency, ClassRule> classes(TomlSection root) {
        Map<Urgency, ClassRule> rules = new EnumMap<>(Urgency.class);
        rules.put(Urgency.LIVE, new ClassRule(Duration.ofMillis(DEFAULT_LIVE_TARGET_MS), 0));
        rules.put(Urgency.DAILY, new ClassRule(Duration.ofMillis(DEFAULT_DAILY_TARGET_MS), DEFAULT_DAILY_PERCENT));
        rules.put(
                Urgency.OVERNIGHT,
                new ClassRule(Duration.ofMillis(DEFAULT_OVERNIGHT_TARGET_MS), DEFAULT_OVERNIGHT_PERCENT));
        Optional<TomlSection> table = root.section("classes");
        if (table.isEmpty()) {
            return rules;
        }
        for (Urgency u : Urgency.values()) {
            table.get().section(u.externalName()).ifPresent(s -> rules.put(u, classRule(s, rules.get(u))));
        }
        int sum = rules.values().stream().mapToInt(ClassRule::guaranteedPercent).sum();
        if (sum > MAX_PERCENT) {
            root.report(
                    "classes",
                    Violation.Kind.CONTRADICTION,
                    "guaranteed_percent of " + sum + " in total",
                    "a sum of at most " + MAX_PERCENT);
        }
        return rules;
    }

    private static ClassRule classRule(TomlSection section, ClassRule defaults) {
        Duration target = section.milliseconds(
                "target_ms", 1, MAX_TARGET_MS, (int) defaults.target().toMillis());
        int percent = section.integer("guaranteed_percent", 0, MAX_PERCENT, defaults.guaranteedPercent());
        return new ClassRule(target, percent);
    }

    private static Map<String, Integer> teamWeights(TomlSection root) {
        Map<String, Integer> weights = new HashMap<>();
        Optional<TomlSection> table = root.section("team_weights");
        if (table.isEmpty()) {
            return weights;
        }
        for (String team : table.get().names()) {
            weights.put(team, table.get().integer(team, 1, MAX_TEAM_WEIGHT, 1));
        }
        return weights;
    }

    private static ServiceFile.Limits limits(TomlSection root) {
        TomlSection section = root.section("limits").orElse(TomlSection.parse("", ""));
        Duration timeout = section.milliseconds("timeout_ms", MIN_TIMEOUT_MS, MAX_TARGET_MS, DEFAULT_TIMEOUT_MS);
        Duration window =
                Duration.ofSeconds(section.integer("claim_window_s", MIN_WINDOW_S, MAX_WINDOW_S, DEFAULT_WINDOW_S));
        if (timeout.compareTo(window.minus(ClaimLedger.CLOCK_MARGIN.multipliedBy(2))) > 0) {
            section.report(
                    "claim_window_s",
                    Violation.Kind.CONTRADICTION,
                    window.toSeconds() + " s with a timeout of " + timeout.toMillis() + " ms",
                    "at least the timeout and twice the clock margin of " + ClaimLedger.CLOCK_MARGIN.toSeconds()
                            + " s");
        }
        int slots = section.integer("slots", 1, MAX_SLOTS, DEFAULT_SLOTS);
        return new ServiceFile.Limits(
                timeout,
                section.integer("queue_length", 1, MAX_QUEUE_LENGTH, DEFAULT_QUEUE_LENGTH),
                slots,
                section.integer("live_slots", 0, slots - 1, slots / DEFAULT_LIVE_SLOTS_DIVISOR),
                section.integer("retry_percent", 0, MAX_PERCENT, DEFAULT_RETRY_PERCENT),
                section.integer("max_body_bytes", 1, MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES),
                window);
    }

    private static ValidationResult<PublishedFile> teamsFile(TomlSection root) {
        Map<String, String> byHash = new HashMap<>();
        for (TomlSection section : root.sections("teams")) {
            String name = requireName(section, "name");
            String hash = section.requireString("token_sha256");
            if (!hash.isEmpty() && !SHA256_HEX.matcher(hash).matches()) {
                section.report(
                        "token_sha256",
                        Violation.Kind.OUT_OF_RANGE,
                        hash.length() + " characters",
                        "64 lower-case hexadecimal digits");
            }
            if (byHash.put(hash, name) != null) {
                section.report("token_sha256", Violation.Kind.CONTRADICTION, "a duplicate hash", "one team per token");
            }
        }
        return root.finish(() -> new TeamsFile(byHash));
    }

    private static String requireName(TomlSection section, String key) {
        String name = section.requireString(key);
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            section.report(key, Violation.Kind.OUT_OF_RANGE, "\"" + name + "\"", EXPECTED_NAME);
        }
        return name;
    }

    private enum FileKind {
        MODEL,
        PLAIN,
        TEAMS
    }
}
