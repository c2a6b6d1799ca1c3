package org.citrontide.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.runtime.settings.ProcessSettings;
import org.citrontide.store.client.StoreClient;

/** The option that names the platform's key-value service, and parsing of address options. Stateless. */
final class StoreOptions {
    static final String STORE_OPTION = "store";

    private StoreOptions() {}

    static Options options() {
        return new Options()
                .addOption(
                        null, STORE_OPTION, true, "IP:PORT of the platform's key-value service; comma-separated list");
    }

    static StoreClient connect(CommandLine line) throws IOException, Command.UsageException {
        return StoreClient.connect(parseAddresses(line, STORE_OPTION));
    }

    static List<InetSocketAddress> parseAddresses(CommandLine line, String option) throws Command.UsageException {
        List<InetSocketAddress> list = new ArrayList<>();
        for (String text : line.getOptionValue(option, "").split(",")) {
            list.add(ProcessSettings.parseAddress(text)
                    .orElseThrow(() ->
                            new Command.UsageException("--" + option + ": found \"" + text + "\", expected IP:PORT")));
        }
        return list;
    }
}
