package org.citrontide.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.store.client.StoreClient;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;
import org.citrontide.wire.generated.ProcessIdentity;
import org.citrontide.wire.link.Link;
import org.citrontide.wire.link.LinkEndpoint;
import org.citrontide.wire.link.LinkFault;
import org.citrontide.wire.link.LinkListener;

/** The command {@code status}: reports the configuration version of each reachable process. */
final class StatusCommand implements Command {
    private static final String KEY_FILE_OPTION = "link-key-file";
    private static final String ZONES_OPTION = "zones";
    private static final String LINKS_OPTION = "links";
    private static final long ANSWER_TIMEOUT_MS = 3000;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String operands() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows which configuration each reachable process has in force, and when it was last confirmed.";
    }

    @Override
    public Options options() {
        return StoreOptions.options()
                .addOption(null, KEY_FILE_OPTION, true, "file with the key shared by all processes")
                .addOption(null, ZONES_OPTION, true, "availability zones whose VM lists are queried, comma-separated")
                .addOption(null, LINKS_OPTION, true, "IP:PORT of additional processes to query, comma-separated");
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        if (!line.hasOption(KEY_FILE_OPTION)) {
            throw new UsageException("--" + KEY_FILE_OPTION + " is required");
        }
        String key =
                InputFiles.readSettings(line.getOptionValue(KEY_FILE_OPTION)).strip();
        List<InetSocketAddress> targets = targets(line);
        if (targets.isEmpty()) {
            System.err.println("no process to query; check --links, --zones and --store");
            return ExitCode.UNREACHABLE;
        }
        HeartbeatCollector collector = new HeartbeatCollector(targets.size());
        ProcessIdentity self =
                ProcessIdentity.newBuilder().setVm("operator").setRole("status").build();
        try (LinkEndpoint endpoint = new LinkEndpoint(1, key, self, collector)) {
            targets.forEach(endpoint::dial);
            collector.await();
        }
        return print(targets, collector);
    }

    private static List<InetSocketAddress> targets(CommandLine line) throws IOException, UsageException {
        List<InetSocketAddress> list = new ArrayList<>();
        if (line.hasOption(LINKS_OPTION)) {
            list.addAll(StoreOptions.parseAddresses(line, LINKS_OPTION));
        }
        if (!line.hasOption(ZONES_OPTION)) {
            return list;
        }
        StoreClient store = StoreOptions.connect(line);
        for (String zone : line.getOptionValue(ZONES_OPTION).split(",")) {
            List<ListedVm> vms = store.watchVmList(zone, 0, Duration.ZERO)
                    .join()
                    .map(StoreClient.VmList::vms)
                    .orElse(List.of());
            vms.forEach(v -> list.add(new InetSocketAddress(v.id().host(), v.id().port())));
        }
        return list;
    }

    private static ExitCode print(List<InetSocketAddress> targets, HeartbeatCollector collector) {
        System.out.printf("%-22s %-9s %-16s %-14s %9s %9s%n", "address", "role", "vm", "zone", "version", "age ms");
        boolean hasAllAnswers = true;
        for (InetSocketAddress a : targets) {
            ProcessHeartbeat answer = collector.byAddress.get(a);
            if (answer == null) {
                System.out.printf("%-22s did not answer%n", formatAddress(a));
                hasAllAnswers = false;
                continue;
            }
            String age = answer.heartbeat().hasConfigurationAgeMs()
                    ? Long.toString(answer.heartbeat().getConfigurationAgeMs())
                    : "never";
            System.out.printf(
                    "%-22s %-9s %-16s %-14s %9d %9s%n",
                    formatAddress(a),
                    answer.peer().getRole(),
                    answer.peer().getVm(),
                    answer.peer().getZone(),
                    answer.heartbeat().getConfigurationVersion(),
                    age);
        }
        return hasAllAnswers ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static String formatAddress(InetSocketAddress a) {
        return a.getHostString() + ":" + a.getPort();
    }

    private record ProcessHeartbeat(ProcessIdentity peer, Heartbeat heartbeat) {}

    /** Collects heartbeats and counts down at the first one of each process. Thread-safe. */
    private static final class HeartbeatCollector implements LinkListener {
        private final Map<InetSocketAddress, ProcessHeartbeat> byAddress = new ConcurrentHashMap<>();
        private final CountDownLatch pendingAnswers;

        private HeartbeatCollector(int count) {
            pendingAnswers = new CountDownLatch(count);
        }

        private void await() {
            try {
                pendingAnswers.await(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void linkUp(Link link) {
            // The first heartbeat, which follows, carries the status.
        }

        @Override
        public void frameReceived(Link link, Frame frame) {
            if (frame.hasHeartbeat()
                    && byAddress.put(link.remoteAddress(), new ProcessHeartbeat(link.peer(), frame.getHeartbeat()))
                            == null) {
                pendingAnswers.countDown();
            }
        }

        @Override
        public void linkDown(Link link) {
            // A heartbeat that was received remains valid.
        }

        @Override
        public void connectionRejected(String address, LinkFault fault) {
            System.err.println(address + ": " + fault.key());
        }

        @Override
        public Heartbeat buildHeartbeat() {
            return Heartbeat.getDefaultInstance();
        }
    }
}
