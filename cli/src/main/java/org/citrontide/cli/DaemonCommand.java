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
 * The commands {@code entry}, {@code sidecar} and {@code gateway}, which run until the process receives a termination
 * signal.
 *
 * @param name name of the command and role of the process
 * @param summary one-sentence summary for the help text
 * @param starter parses the settings and starts the daemon
 */
record DaemonCommand(String name, String summary, DaemonStarter starter) implements Command {
    static final DaemonCommand ENTRY = new DaemonCommand(
            "entry",
            "Runs an entry: accepts callers' requests and routes them to upstreams.",
            DaemonCommand::startEntry);
    static final DaemonCommand SIDECAR = new DaemonCommand(
            "sidecar", "Runs a sidecar: controls admission to one upstream.", DaemonCommand::startSidecar);
    static final DaemonCommand GATEWAY = new DaemonCommand(
            "gateway",
            "Runs a gateway: accepts callers' requests and forwards them to upstreams over HTTP.",
            DaemonCommand::startGateway);

    /** Parses settings and starts a daemon. */
    interface DaemonStarter {
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
            throw new UsageException("expected one settings file");
        }
        String file = line.getArgList().getFirst();
        return starter.start(file, InputFiles.readSettings(file));
    }

    private static ExitCode startEntry(String file, String text) throws IOException {
        ValidationResult<EntrySettings> checked = EntrySettings.parse(file, text);
        if (checked.value().isEmpty()) {
            InputFiles.printViolations(checked.violations());
            return ExitCode.USAGE;
        }
        EntrySettings settings = checked.value().get();
        installLogging(ENTRY, settings.process());
        EntryDaemon daemon = new EntryDaemon(settings, new SecureRandom().nextLong());
        registerShutdownHook(daemon::stop);
        daemon.start();
        return ExitCode.DONE;
    }

    private static ExitCode startSidecar(String file, String text) throws IOException {
        ValidationResult<SidecarSettings> checked = SidecarSettings.parse(file, text);
        if (checked.value().isEmpty()) {
            InputFiles.printViolations(checked.violations());
            return ExitCode.USAGE;
        }
        SidecarSettings settings = checked.value().get();
        installLogging(SIDECAR, settings.process());
        SidecarDaemon daemon = new SidecarDaemon(settings, new SecureRandom().nextLong());
        registerShutdownHook(daemon::stop);
        daemon.start();
        return ExitCode.DONE;
    }

    private static ExitCode startGateway(String file, String text) throws IOException {
        return GatewayMain.start(file) ? ExitCode.DONE : ExitCode.USAGE;
    }

    private static void installLogging(DaemonCommand role, ProcessSettings process) {
        LogSetup.install(role.name(), process.vm(), process.zone());
    }

    private static void registerShutdownHook(Runnable stop) {
        Runnable stopAndFlush = () -> {
            stop.run();
            LogSetup.flush();
        };
        Runtime.getRuntime().addShutdownHook(new Thread(stopAndFlush, "stop"));
    }
}
