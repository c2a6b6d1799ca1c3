package org.citrontide.gateway.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;

import org.citrontide.core.toml.ValidationResult;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogSetup;
import org.citrontide.runtime.signal.ReloadSignal;

/**
 * Starts a gateway from its settings file. This is a separate class so that a gateway doesn't load the other commands.
 */
public final class GatewayMain {
    private static final EventLog LOG = EventLog.of(GatewayMain.class);
    private static final String ROLE = "gateway";
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_START_FAILED = 3;

    private GatewayMain() {}

    /**
     * Starts a gateway, or exits with a message.
     *
     * @param args path of the settings file
     */
    public static void main(String[] args) {
        if (args.length != 1) {
            System.err.println("usage: gateway SETTINGS");
            System.exit(EXIT_USAGE);
        }
        try {
            if (!start(args[0])) {
                System.exit(EXIT_USAGE);
            }
        } catch (IOException e) {
            LOG.error("start-failed", e).write();
            LogSetup.flush();
            System.exit(EXIT_START_FAILED);
        }
    }

    /**
     * Starts a gateway that runs until the process is told to stop.
     *
     * @param file path of the settings file
     * @return false if the settings are invalid; the violations have been printed to standard error
     * @throws IOException if the file can't be read or a server can't listen on its address
     */
    public static boolean start(String file) throws IOException {
        ValidationResult<GatewaySettings> checked = GatewaySettings.parse(file, Files.readString(Path.of(file)));
        if (checked.value().isEmpty()) {
            checked.violations().forEach(v -> System.err.println(v.text()));
            return false;
        }
        GatewaySettings settings = checked.value().get();
        LogSetup.install(ROLE, settings.vm(), settings.zone());
        GatewayDaemon daemon = new GatewayDaemon(settings, new SecureRandom().nextLong(), System.nanoTime());
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.stop();
                            LogSetup.flush();
                        },
                        "stop"));
        ReloadSignal.handle(() -> reload(file, settings));
        daemon.start();
        return true;
    }

    /** Validates the settings file again and logs the result; changes take effect at the next start. */
    private static void reload(String file, GatewaySettings inForce) {
        try {
            ValidationResult<GatewaySettings> checked = GatewaySettings.parse(file, Files.readString(Path.of(file)));
            LOG.info("reload")
                    .with("valid", checked.value().isPresent())
                    .with("changed", !checked.value().equals(Optional.of(inForce)))
                    .write();
        } catch (IOException e) {
            LOG.warn("reload").with("valid", false).with("why", e.getMessage()).write();
        }
    }
}
