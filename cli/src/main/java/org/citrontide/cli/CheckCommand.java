package org.citrontide.cli;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.toml.ValidationResult;

/** The command {@code check}. */
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
            throw new UsageException("one directory is needed");
        }
        ValidationResult<Configuration> checked =
                Files.check(Files.directory(line.getArgList().getFirst()));
        if (checked.value().isEmpty()) {
            Files.print(checked.violations());
            return ExitCode.REFUSED;
        }
        System.out.println("valid: " + checked.value().get().services().size() + " services");
        return ExitCode.DONE;
    }
}
