package org.citrontide.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/** Entry point of the command line: dispatches to a command and exits with its exit code. */
public final class Citrontide {
    private static final String VERSION = "citrontide 0.1.0";
    private static final List<Command> COMMANDS = List.of(
            DaemonCommand.ENTRY,
            DaemonCommand.SIDECAR,
            DaemonCommand.GATEWAY,
            new CheckCommand(),
            new PublishCommand(),
            new StatusCommand(),
            new LoadCommand());

    private Citrontide() {}

    /**
     * Runs a command and exits with its exit code, unless the command is a daemon that has started.
     *
     * @param args the name of the command, its options and operands
     */
    public static void main(String[] args) {
        ExitCode code = run(args);
        System.out.flush();
        if (code != ExitCode.DONE || !isDaemon(args)) {
            System.exit(code.number());
        }
    }

    private static boolean isDaemon(String[] args) {
        boolean isHelp = Arrays.asList(args).contains("--help");
        return !isHelp && args.length > 0 && COMMANDS.stream().anyMatch(c -> isDaemon(c, args[0]));
    }

    private static boolean isDaemon(Command c, String name) {
        return c instanceof DaemonCommand && c.name().equals(name);
    }

    private static ExitCode run(String[] args) {
        if (args.length == 0 || args[0].equals("--help")) {
            printCommands(System.out);
            return args.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
        }
        if (args[0].equals("--version")) {
            System.out.println(VERSION);
            return ExitCode.DONE;
        }
        Optional<Command> command =
                COMMANDS.stream().filter(c -> c.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            System.err.println("citrontide: unknown command \"" + args[0] + "\"");
            printCommands(System.err);
            return ExitCode.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length));
    }

    private static ExitCode run(Command command, String[] args) {
        Options options = command.options();
        options.addOption(null, "help", false, "print this help");
        options.addOption(null, "version", false, "print the version");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                printHelp(command, options);
                return ExitCode.DONE;
            }
            if (line.hasOption("version")) {
                System.out.println(VERSION);
                return ExitCode.DONE;
            }
            return command.run(line);
        } catch (ParseException | Command.UsageException e) {
            System.err.println("citrontide " + command.name() + ": " + e.getMessage());
            System.err.println("see citrontide " + command.name() + " --help");
            return ExitCode.USAGE;
        } catch (IOException e) {
            System.err.println("citrontide " + command.name() + ": " + e.getMessage());
            return ExitCode.UNREACHABLE;
        }
    }

    private static void printHelp(Command c, Options options) throws IOException {
        HelpFormatter.builder()
                .setShowSince(false)
                .get()
                .printHelp(
                        "citrontide " + c.name() + " [options] " + c.operands(),
                        c.summary(),
                        options,
                        "Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 unreachable.",
                        false);
    }

    private static void printCommands(PrintStream out) {
        out.println("usage: citrontide COMMAND [options]");
        for (Command c : COMMANDS) {
            out.printf("  %-28s %s%n", c.name() + " " + c.operands(), c.summary());
        }
        out.printf("  %-28s %s%n", "fake store|engine|service", "Runs a fake for tests and the demo.");
        out.printf("  %-28s %s%n", "demo", "Runs a small deployment, sends requests and prints their results.");
        out.println("Run citrontide COMMAND --help for details. Exit codes: 0 done, 1 refused or conflict, 2 usage,"
                + " 3 unreachable.");
    }
}
