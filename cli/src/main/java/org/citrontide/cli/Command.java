package org.citrontide.cli;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command line. Implementations are stateless. */
sealed interface Command permits CheckCommand, DaemonCommand, LoadCommand, PublishCommand, StatusCommand {

    /** Returns the name of the command. */
    String name();

    /** Returns the operands as shown in the help text. */
    String operands();

    /** Returns a one-sentence summary for the help text. */
    String summary();

    /** Returns the options of the command, without --help and --version. */
    Options options();

    /** Runs the command and returns its exit code. */
    ExitCode run(CommandLine line) throws IOException, UsageException;

    /** Thrown if the options or operands of a command are invalid. */
    final class UsageException extends Exception {
        private static final long serialVersionUID = 1;

        UsageException(String message) {
            super(message);
        }
    }
}
