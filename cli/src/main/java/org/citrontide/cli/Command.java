package org.citrontide.cli;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command. Implementations are stateless. */
sealed interface Command permits CheckCommand, DaemonCommand, LoadCommand, PublishCommand, StatusCommand {

    /** Returns the word that names the command. */
    String name();

    /** Returns the operands, for the help text. */
    String operands();

    /** Returns one sentence for the help text. */
    String summary();

    /** Returns the options besides --help. */
    Options options();

    /** Runs the command. */
    ExitCode run(CommandLine line) throws IOException, UsageException;

    /** The words of the command are wrong. */
    final class UsageException extends Exception {
        private static final long serialVersionUID = 1;

        UsageException(String message) {
            super(message);
        }
    }
}
