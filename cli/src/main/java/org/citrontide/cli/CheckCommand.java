package org.citrontide.cli;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.toml.ValidationResult;

/** The command {@code check}: validates service files. */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String operands() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Validates the service files in a directory.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected one directory");
        }
        ValidationResult<Configuration> checked =
                InputFiles.validate(InputFiles.readDirectory(line.getArgList().getFirst()));
        if (checked.value().isEmpty()) {
            InputFiles.printViolations(checked.violations());
            return ExitCode.REFUSED;
        }
        System.out.println("valid: " + checked.value().get().services().size() + " services");
        return ExitCode.DONE;
    }
}
