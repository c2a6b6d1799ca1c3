package org.citrontide.core.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Propagates versions to many controllers in virtual time and counts the calls to the platform's store. */
final class ConfigurationSyncTest {
    private static final long MILLI = 1_000_000L;
    private static final long STEP_MS = 100;
    private static final int LINKS = 4;

    @Test
    void versionIsInForceEverywhereWithinTenSecondsWithFewStoreCalls() {
        for (int processes : new int[] {10, 50, 200}) {
            Zone z = new Zone(processes, 1);
            z.run(20_000);
            z.publish(2);
            int callsBefore = z.storeCalls;
            long ms = z.millisUntilAllHave(2, 10_000);
            z.run(20_000 - ms);
            double perSecond = (z.storeCalls - callsBefore) / 20.0;
            System.out.printf("spread processes=%d in-force-ms=%d store-calls-per-s=%.2f%n", processes, ms, perSecond);
            assertTrue(ms <= 10_000, processes + " processes took " + ms + " ms");
            assertTrue(perSecond <= 2.0, processes + " processes made " + perSecond + " calls a second");
        }
    }

    @Test
    void restartedProcessGetsTheVersionFromPeersWhileTheStoreIsDown() {
        Zone z = new Zone(10, 2);
        z.run(20_000);
        z.storeDown = true;
        z.restart(5);
        assertTrue(z.millisUntilAllHave(1, 5_000) <= 5_000);
    }

    @Test
    void versionNeverRevertsWhenTheStoreIsRestoredToAnOlderState() {
        Zone z = new Zone(10, 3);
        z.publish(2);
        z.run(20_000);
        z.publish(1);
        z.run(60_000);
        z.controllers.forEach(c -> assertEquals(2, c.inForce().version()));
        assertTrue(z.reports > 0);
    }

    @Test
    void longOutageAndRecoveryCauseNoCallStorm() {
        Zone z = new Zone(200, 4);
        z.run(20_000);
        z.storeDown = true;
        int callsBeforeOutage = z.storeCalls;
        z.run(600_000);
        double down = (z.storeCalls - callsBeforeOutage) / 600.0;
        z.storeDown = false;
        z.publish(2);
        int callsBeforeRecovery = z.storeCalls;
        long ms = z.millisUntilAllHave(2, 40_000);
        double firstTen = (z.storeCalls - callsBeforeRecovery) / Math.max(10.0, ms / 1000.0);
        System.out.printf(
                "outage processes=200 calls-per-s-down=%.2f calls-per-s-after-heal=%.2f in-force-ms=%d%n",
                down, firstTen, ms);
        assertTrue(down <= 5, down + " calls a second while down");
        assertTrue(firstTen <= 20, firstTen + " calls a second after the recovery");
        assertTrue(ms <= 40_000);
    }

    @Test
    void invalidVersionIsNotInstalled() {
        Zone z = new Zone(3, 5);
        z.run(20_000);
        z.text = "kind = \"plain\"";
        z.publish(2);
        z.run(10_000);
        z.controllers.forEach(c -> assertEquals(1, c.inForce().version()));
    }

    /** The processes of a zone, each with links to a few others; two of them are watchers. */
    private static final class Zone {
        private final SplittableRandom random;
        private final List<ConfigurationSyncController> controllers = new ArrayList<>();
        private final List<int[]> links = new ArrayList<>();
        private final Map<Integer, Integer> stepsToResponse = new HashMap<>();
        private String text = "kind = \"plain\"\nservice = \"s\"\n[[calls]]\npath = \"/\"\n";
        private Head head = Head.EMPTY;
        private long now;
        private int storeCalls;
        private int reports;
        private boolean storeDown;

        private Zone(int processes, long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < processes; i++) {
                controllers.add(new ConfigurationSyncController(random.split()));
                links.add(random.ints(LINKS, 0, processes).toArray());
            }
            publish(1);
        }

        private void publish(long version) {
            Head.HeadFile f = new Head.HeadFile(version, PublicationStateMachine.hash(text), "p" + version);
            head = new Head(version, Map.of("s.toml", f), List.of());
        }

        private void restart(int i) {
            controllers.set(i, new ConfigurationSyncController(random.split()));
        }

        private void run(long millis) {
            for (long end = now + millis; now < end; now += STEP_MS) {
                step();
            }
        }

        private long millisUntilAllHave(long version, long maxMillis) {
            long start = now;
            while (controllers.stream().anyMatch(c -> c.inForce().version() < version) && now - start <= maxMillis) {
                step();
                now += STEP_MS;
            }
            return now - start;
        }

        private void step() {
            for (int i = 0; i < controllers.size(); i++) {
                handle(i, new ConfigurationSyncEvent.Tick(i < 2));
                if (stepsToResponse.getOrDefault(i, -1) > 0 && stepsToResponse.merge(i, -1, Integer::sum) == 0) {
                    handle(
                            i,
                            storeDown
                                    ? new ConfigurationSyncEvent.StoreFailed()
                                    : new ConfigurationSyncEvent.StoreHead(
                                            head, Map.of(PublicationStateMachine.hash(text), text)));
                }
                if (now % 1000 == (i * STEP_MS) % 1000) {
                    sendHeartbeats(i);
                }
            }
        }

        /** Sends heartbeats in both directions of each link. */
        private void sendHeartbeats(int i) {
            for (int peer : links.get(i)) {
                sendDigest(i, peer);
                sendDigest(peer, i);
            }
        }

        private void sendDigest(int from, int to) {
            ConfigurationSyncController c = controllers.get(from);
            Duration age = c.confirmationAge(now * MILLI).orElse(Duration.ofDays(1));
            handle(to, new ConfigurationSyncEvent.PeerDigest(from, c.inForce().version(), age));
        }

        private void handle(int i, ConfigurationSyncEvent event) {
            for (ConfigurationSyncAction a : controllers.get(i).handle(event, now * MILLI)) {
                switch (a) {
                    case ConfigurationSyncAction.RequestFiles p -> sendFiles(i, (int) p.peer());
                    case ConfigurationSyncAction.ReadStore s -> {
                        storeCalls++;
                        stepsToResponse.put(i, s.watch() && !storeDown && isCurrent(i) ? 20 : 1);
                    }
                    case ConfigurationSyncAction.ReportStoreRegression b -> reports++;
                    default -> {
                        // An installed configuration is kept by the controller.
                    }
                }
            }
        }

        private boolean isCurrent(int i) {
            return controllers.get(i).inForce().version() >= head.version();
        }

        private void sendFiles(int to, int from) {
            Configuration c = controllers.get(from).inForce();
            Map<String, Long> versions = new HashMap<>();
            Map<String, String> texts = new HashMap<>();
            c.files().forEach((name, f) -> {
                versions.put(name, f.version());
                texts.put(name, f.text());
            });
            handle(to, new ConfigurationSyncEvent.PeerFiles(from, c.version(), versions, texts));
        }
    }
}
