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

/** The command {@code status}. */
final class StatusCommand implements Command {
    private static final String KEY_FILE = "link-key-file";
    private static final String ZONES = "zones";
    private static final String LINKS = "links";
    private static final long PATIENCE_MS = 3000;

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
        return "Shows which configuration each reachable process has in force, and how fresh its knowledge is.";
    }

    @Override
    public Options options() {
        return Stores.options()
                .addOption(null, KEY_FILE, true, "file with the key that all processes share")
                .addOption(null, ZONES, true, "availability zones whose lists are asked for, by commas")
                .addOption(null, LINKS, true, "IP:PORT of processes to ask besides, by commas");
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        if (!line.hasOption(KEY_FILE)) {
            throw new UsageException("--" + KEY_FILE + " is needed");
        }
        String key = Files.settings(line.getOptionValue(KEY_FILE)).strip();
        List<InetSocketAddress> targets = targets(line);
        if (targets.isEmpty()) {
            System.err.println("no process is known");
            return ExitCode.UNREACHABLE;
        }
        Answers answers = new Answers(targets.size());
        ProcessIdentity self =
                ProcessIdentity.newBuilder().setVm("operator").setRole("status").build();
        try (LinkEndpoint endpoint = new LinkEndpoint(1, key, self, answers)) {
            targets.forEach(endpoint::dial);
            answers.await();
        }
        return print(targets, answers);
    }

    private static List<InetSocketAddress> targets(CommandLine line) throws IOException, UsageException {
        List<InetSocketAddress> list = new ArrayList<>();
        if (line.hasOption(LINKS)) {
            list.addAll(Stores.addresses(line, LINKS));
        }
        if (!line.hasOption(ZONES)) {
            return list;
        }
        StoreClient store = Stores.connect(line);
        for (String zone : line.getOptionValue(ZONES).split(",")) {
            List<ListedVm> vms = store.watchVmList(zone, 0, Duration.ZERO)
                    .join()
                    .map(StoreClient.VmList::vms)
                    .orElse(List.of());
            vms.forEach(v -> list.add(new InetSocketAddress(v.id().host(), v.id().port())));
        }
        return list;
    }

    private static ExitCode print(List<InetSocketAddress> targets, Answers answers) {
        System.out.printf("%-22s %-9s %-16s %-14s %9s %9s%n", "address", "role", "vm", "zone", "version", "age ms");
        boolean all = true;
        for (InetSocketAddress a : targets) {
            Answer x = answers.byAddress.get(a);
            if (x == null) {
                System.out.printf("%-22s did not answer%n", text(a));
                all = false;
                continue;
            }
            String age = x.heartbeat().hasConfigurationAgeMs()
                    ? Long.toString(x.heartbeat().getConfigurationAgeMs())
                    : "never";
            System.out.printf(
                    "%-22s %-9s %-16s %-14s %9d %9s%n",
                    text(a),
                    x.peer().getRole(),
                    x.peer().getVm(),
                    x.peer().getZone(),
                    x.heartbeat().getConfigurationVersion(),
                    age);
        }
        return all ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static String text(InetSocketAddress a) {
        return a.getHostString() + ":" + a.getPort();
    }

    private record Answer(ProcessIdentity peer, Heartbeat heartbeat) {}

    /** Collects the first heartbeat of each process. Safe for use by many threads. */
    private static final class Answers implements LinkListener {
        private final Map<InetSocketAddress, Answer> byAddress = new ConcurrentHashMap<>();
        private final CountDownLatch missing;

        private Answers(int count) {
            missing = new CountDownLatch(count);
        }

        private void await() {
            try {
                missing.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void linkUp(Link link) {
            // The heartbeat that follows says all.
        }

        @Override
        public void frameReceived(Link link, Frame frame) {
            if (frame.hasHeartbeat()
                    && byAddress.put(link.remoteAddress(), new Answer(link.peer(), frame.getHeartbeat())) == null) {
                missing.countDown();
            }
        }

        @Override
        public void linkDown(Link link) {
            // What was heard stays heard.
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
