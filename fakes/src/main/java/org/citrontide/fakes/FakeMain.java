package org.citrontide.fakes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.citrontide.fakes.engine.FakeEngine;
import org.citrontide.fakes.http.FakeServer;
import org.citrontide.fakes.service.FakeService;
import org.citrontide.fakes.store.FakeStore;
import org.citrontide.runtime.log.LogSetup;
import org.citrontide.runtime.settings.ProcessSettings;

/** Entry point of the command {@code citrontide fake}, which serves fakes for tests and the demo. */
public final class FakeMain {
    private static final String USAGE = """
            usage: citrontide fake store|engine|service --listen IP:PORT [options]
              --listen IP:PORT          address to listen on
              --batch N                 engine: maximum batch size in requests (8)
              --token-ms N              engine: duration of a step in ms (5)
              --prefill-us-per-char N   engine: prefill time per uncached prompt character in µs (20)
              --cache-blocks N          engine: prefix cache capacity in blocks of 64 characters (4096)
            Faults are set by POST /fake/faults with a JSON document; see docs/FAKES.md.
            """;
    private static final int USAGE_ERROR = 2;
    private static final int LISTEN_FAILED = 3;

    private FakeMain() {}

    /**
     * Runs a fake until the process exits.
     *
     * @param args kind of the fake and options
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        Options options = new Options();
        for (String name : new String[] {"listen", "batch", "token-ms", "prefill-us-per-char", "cache-blocks"}) {
            options.addOption(null, name, true, name);
        }
        options.addOption(null, "help", false, "help");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                System.out.print(USAGE);
                return;
            }
            Optional<InetSocketAddress> address = ProcessSettings.parseAddress(line.getOptionValue("listen", ""));
            if (line.getArgList().size() != 1 || address.isEmpty()) {
                throw new ParseException("exactly one kind and --listen IP:PORT are required");
            }
            String kind = line.getArgList().getFirst();
            LogSetup.install("fake-" + kind, "fake", "fake");
            new FakeServer(address.get(), createHandler(kind, line));
            Thread.currentThread().join();
        } catch (ParseException | NumberFormatException e) {
            System.err.println("citrontide fake: " + e.getMessage());
            System.err.print(USAGE);
            System.exit(USAGE_ERROR);
        } catch (IOException e) {
            System.err.println("citrontide fake: " + e.getMessage());
            System.exit(LISTEN_FAILED);
        }
    }

    private static FakeServer.RequestHandler createHandler(String kind, CommandLine line) throws ParseException {
        return switch (kind) {
            case "store" -> new FakeStore();
            case "engine" ->
                new FakeEngine(
                        Integer.parseInt(line.getOptionValue("batch", "8")),
                        Long.parseLong(line.getOptionValue("token-ms", "5")),
                        Long.parseLong(line.getOptionValue("prefill-us-per-char", "20")),
                        Integer.parseInt(line.getOptionValue("cache-blocks", "4096")));
            case "service" -> new FakeService();
            default -> throw new ParseException("unknown kind \"" + kind + "\"");
        };
    }
}
