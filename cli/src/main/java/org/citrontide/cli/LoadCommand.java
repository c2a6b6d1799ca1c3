package org.citrontide.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.cli.load.LoadGenerator;
import org.citrontide.cli.load.LoadPlan;
import org.citrontide.cli.load.LoadReport;

/** The command {@code load}: sends an open-loop load and reports latencies and verdicts. */
final class LoadCommand implements Command {
    private static final int MAX_RATE = 20_000;
    private static final int MAX_SECONDS = 600;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String operands() {
        return "";
    }

    @Override
    public String summary() {
        return "Sends a bounded load to loopback addresses and reports its latencies and verdicts.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "target", true, "IP:PORT of entries or a fake, comma-separated; loopback only")
                .addOption(null, "path", true, "path of the requests (/services/booking/turns/1)")
                .addOption(null, "method", true, "HTTP method (GET)")
                .addOption(null, "body", true, "body of the requests; %n is replaced by the number of the request")
                .addOption(null, "key", true, "idempotency key; %n is replaced by the number of the request")
                .addOption(null, "tokens", true, "tokens of teams, comma-separated, used in rotation")
                .addOption(null, "urgency", true, "live, daily or overnight")
                .addOption(null, "timeout-s", true, "Request-Timeout in seconds")
                .addOption(null, "rate", true, "requests per second (100)")
                .addOption(null, "seconds", true, "duration in seconds (5)")
                .addOption(
                        null, "warm-up-s", true, "duration in seconds of an uncounted warm-up with the same load (0)")
                .addOption(null, "label", true, "name of the row in the report (load)")
                .addOption(null, "json", true, "file that the report is written to as JSON")
                .addOption(
                        null,
                        "list-verdicts",
                        true,
                        "file that receives one line per request: number, status, verdict");
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        LoadPlan plan = new LoadPlan(
                line.getOptionValue("label", "load"),
                StoreOptions.parseAddresses(line, "target"),
                line.getOptionValue("method", "GET"),
                line.getOptionValue("path", "/services/booking/turns/1"),
                Optional.ofNullable(line.getOptionValue("body")),
                Optional.ofNullable(line.getOptionValue("key")),
                List.of(line.getOptionValue("tokens", "").split(",")),
                Optional.ofNullable(line.getOptionValue("urgency")),
                Optional.ofNullable(line.getOptionValue("timeout-s")),
                parseNumber(line, "rate", 100, 1, MAX_RATE),
                parseNumber(line, "seconds", 5, 1, MAX_SECONDS),
                parseNumber(line, "warm-up-s", 0, 0, MAX_SECONDS));
        if (plan.targets().stream().anyMatch(a -> !a.getAddress().isLoopbackAddress())) {
            throw new UsageException("--target: only loopback addresses are allowed");
        }
        LoadReport report = LoadGenerator.run(plan);
        System.out.print(report.text());
        if (line.hasOption("json")) {
            java.nio.file.Files.writeString(Path.of(line.getOptionValue("json")), report.json());
        }
        if (line.hasOption("list-verdicts")) {
            java.nio.file.Files.write(Path.of(line.getOptionValue("list-verdicts")), report.verdictLines());
        }
        return ExitCode.DONE;
    }

    private static int parseNumber(CommandLine line, String option, int defaultValue, int min, int max)
            throws UsageException {
        String text = line.getOptionValue(option, Integer.toString(defaultValue));
        if (!text.matches("[0-9]{1,6}") || Integer.parseInt(text) < min || Integer.parseInt(text) > max) {
            throw new UsageException("--" + option + ": found \"" + text + "\", expected " + min + " to " + max);
        }
        return Integer.parseInt(text);
    }
}
