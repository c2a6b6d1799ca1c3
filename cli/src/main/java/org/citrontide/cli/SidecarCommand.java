package org.citrontide.cli;

import java.io.IOException;
import java.security.SecureRandom;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.toml.Checked;
import org.citrontide.runtime.log.LogSetup;
import org.citrontide.sidecar.daemon.SidecarDaemon;
import org.citrontide.sidecar.daemon.SidecarSettings;

/** The command {@code sidecar}. */
final class SidecarCommand implements Command {
    @Override
    public String name() {
        return "sidecar";
    }

    @Override
    public String operands() {
        return "SETTINGS";
    }

    @Override
    public String summary() {
        return "Runs a sidecar: the gate before one upstream.";
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
        Checked<SidecarSettings> checked = SidecarSettings.parse(file, Files.settings(file));
        if (checked.value().isEmpty()) {
            Files.print(checked.violations());
            return ExitCode.USAGE;
        }
        SidecarSettings s = checked.value().get();
        LogSetup.install("sidecar", s.process().vm(), s.process().zone());
        SidecarDaemon daemon = new SidecarDaemon(s, new SecureRandom().nextLong());
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
        daemon.start();
        return ExitCode.DONE;
    }
}
