package org.citrontide.cli;

import java.io.IOException;
import java.security.SecureRandom;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.entry.daemon.EntryDaemon;
import org.citrontide.entry.daemon.EntrySettings;
import org.citrontide.gateway.daemon.GatewayMain;
import org.citrontide.runtime.log.LogSetup;
import org.citrontide.runtime.settings.ProcessSettings;
import org.citrontide.sidecar.daemon.SidecarDaemon;
import org.citrontide.sidecar.daemon.SidecarSettings;

/**
 * The commands {@code entry}, {@code sidecar} and {@code gateway}, which go on until the process is told to stop.
 *
 * @param name word that names the command, and role of the process
 * @param summary one sentence for the help text
 * @param starter reads the settings and starts the daemon
 */
record DaemonCommand(String name, String summary, Starter starter) implements Command {
    static final DaemonCommand ENTRY =
            new DaemonCommand("entry", "Runs an entry: takes callers' requests and routes them.", DaemonCommand::entry);
    static final DaemonCommand SIDECAR =
            new DaemonCommand("sidecar", "Runs a sidecar: the gate before one upstream.", DaemonCommand::sidecar);
    static final DaemonCommand GATEWAY = new DaemonCommand(
            "gateway",
            "Runs a gateway: takes callers' requests and sends them to upstreams over HTTP.",
            DaemonCommand::gateway);

    /** Reads settings and starts a daemon. */
    interface Starter {
        ExitCode start(String file, String text) throws IOException;
    }

    @Override
    public String operands() {
        return "SETTINGS";
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
        return starter.start(file, Files.settings(file));
    }

    private static ExitCode entry(String file, String text) throws IOException {
        ValidationResult<EntrySettings> checked = EntrySettings.parse(file, text);
        if (checked.value().isEmpty()) {
            Files.print(checked.violations());
            return ExitCode.USAGE;
        }
        EntrySettings settings = checked.value().get();
        prepareLog(ENTRY, settings.process());
        EntryDaemon daemon = new EntryDaemon(settings, new SecureRandom().nextLong());
        stopOnSignal(daemon::stop);
        daemon.start();
        return ExitCode.DONE;
    }

    private static ExitCode sidecar(String file, String text) throws IOException {
        ValidationResult<SidecarSettings> checked = SidecarSettings.parse(file, text);
        if (checked.value().isEmpty()) {
            Files.print(checked.violations());
            return ExitCode.USAGE;
        }
        SidecarSettings settings = checked.value().get();
        prepareLog(SIDECAR, settings.process());
        SidecarDaemon daemon = new SidecarDaemon(settings, new SecureRandom().nextLong());
        stopOnSignal(daemon::stop);
        daemon.start();
        return ExitCode.DONE;
    }

    private static ExitCode gateway(String file, String text) throws IOException {
        return GatewayMain.start(file) ? ExitCode.DONE : ExitCode.USAGE;
    }

    private static void prepareLog(DaemonCommand role, ProcessSettings process) {
        LogSetup.install(role.name(), process.vm(), process.zone());
    }

    private static void stopOnSignal(Runnable stop) {
        Runnable stopAndFlush = () -> {
            stop.run();
            LogSetup.flush();
        };
        Runtime.getRuntime().addShutdownHook(new Thread(stopAndFlush, "stop"));
    }
}
