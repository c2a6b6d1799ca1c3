package org.citrontide.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.runtime.settings.ProcessSettings;
import org.citrontide.store.client.StoreClient;

/** Finds the platform's service for a command. Stateless. */
final class Stores {
    static final String STORE = "store";

    private Stores() {}

    static Options options() {
        return new Options().addOption(null, STORE, true, "IP:PORT of the platform's service, several by commas");
    }

    static StoreClient connect(CommandLine line) throws IOException, Command.UsageException {
        return StoreClient.connect(addresses(line, STORE));
    }

    static List<InetSocketAddress> addresses(CommandLine line, String option) throws Command.UsageException {
        List<InetSocketAddress> list = new ArrayList<>();
        for (String text : line.getOptionValue(option, "").split(",")) {
            list.add(ProcessSettings.parseAddress(text)
                    .orElseThrow(() ->
                            new Command.UsageException("--" + option + ": found \"" + text + "\", expected IP:PORT")));
        }
        return list;
    }
}
