package org.citrontide.cli;

import java.io.IOException;
import java.security.SecureRandom;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.toml.Checked;
import org.citrontide.entry.daemon.EntryDaemon;
import org.citrontide.entry.daemon.EntrySettings;
import org.citrontide.runtime.log.LogSetup;

/** The command {@code entry}. */
final class EntryCommand implements Command {
    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String operands() {
        return "SETTINGS";
    }

    @Override
    public String summary() {
        return "Runs an entry: takes callers' requests and routes them.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("one settings file is needed");
        }
        String file = line.getArgList().getFirst();
        Checked<EntrySettings> checked = EntrySettings.parse(file, Files.settings(file));
        if (checked.value().isEmpty()) {
            Files.print(checked.violations());
            return ExitCode.USAGE;
        }
        EntrySettings s = checked.value().get();
        LogSetup.install("entry", s.process().vm(), s.process().zone());
        EntryDaemon daemon = new EntryDaemon(s, new SecureRandom().nextLong());
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
        daemon.start();
        return ExitCode.DONE;
    }
}
