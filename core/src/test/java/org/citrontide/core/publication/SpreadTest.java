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

/** Spreads versions over many controllers with virtual time, and counts calls to the platform's service. */
final class SpreadTest {
    private static final long MILLI = 1_000_000L;
    private static final long STEP_MS = 100;
    private static final int LINKS = 4;

    @Test
    void versionIsInForceEverywhereWithinTenSecondsAtFewCalls() {
        for (int processes : new int[] {10, 50, 200}) {
            Zone z = new Zone(processes, 1);
            z.run(20_000);
            z.publish(2);
            int before = z.storeCalls;
            long ms = z.millisUntilAllHave(2, 10_000);
            z.run(20_000 - ms);
            double perSecond = (z.storeCalls - before) / 20.0;
            System.out.printf("spread processes=%d in-force-ms=%d store-calls-per-s=%.2f%n", processes, ms, perSecond);
            assertTrue(ms <= 10_000, processes + " processes took " + ms + " ms");
            assertTrue(perSecond <= 2.0, processes + " processes made " + perSecond + " calls a second");
        }
    }

    @Test
    void restartedProcessTakesThePeersVersionWhileTheStoreIsDown() {
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
        assertTrue(z.alarms > 0);
    }

    @Test
    void longOutageAndHealBringNoStorm() {
        Zone z = new Zone(200, 4);
        z.run(20_000);
        z.storeDown = true;
        int atCut = z.storeCalls;
        z.run(600_000);
        double down = (z.storeCalls - atCut) / 600.0;
        z.storeDown = false;
        z.publish(2);
        int atHeal = z.storeCalls;
        long ms = z.millisUntilAllHave(2, 40_000);
        double firstTen = (z.storeCalls - atHeal) / Math.max(10.0, ms / 1000.0);
        System.out.printf(
                "outage processes=200 calls-per-s-down=%.2f calls-per-s-after-heal=%.2f in-force-ms=%d%n",
                down, firstTen, ms);
        assertTrue(down <= 5, down + " calls a second while down");
        assertTrue(firstTen <= 20, firstTen + " calls a second after the heal");
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

    /** Processes of one zone, each with links to a few others; two of them watch. */
    private static final class Zone {
        private final SplittableRandom random;
        private final List<SpreadController> controllers = new ArrayList<>();
        private final List<int[]> links = new ArrayList<>();
        private final Map<Integer, Integer> answersDue = new HashMap<>();
        private String text = "kind = \"plain\"\nservice = \"s\"\n[[calls]]\npath = \"/\"\n";
        private Head head = Head.EMPTY;
        private long now;
        private int storeCalls;
        private int alarms;
        private boolean storeDown;

        private Zone(int processes, long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < processes; i++) {
                controllers.add(new SpreadController(random.split()));
                links.add(random.ints(LINKS, 0, processes).toArray());
            }
            publish(1);
        }

        private void publish(long version) {
            Head.HeadFile f = new Head.HeadFile(version, PublicationMachine.hash(text), "p" + version);
            head = new Head(version, Map.of("s.toml", f), List.of());
        }

        private void restart(int i) {
            controllers.set(i, new SpreadController(random.split()));
        }

        private void run(long millis) {
            for (long end = now + millis; now < end; now += STEP_MS) {
                step();
            }
        }

        private long millisUntilAllHave(long version, long most) {
            long start = now;
            while (controllers.stream().anyMatch(c -> c.inForce().version() < version) && now - start <= most) {
                step();
                now += STEP_MS;
            }
            return now - start;
        }

        private void step() {
            for (int i = 0; i < controllers.size(); i++) {
                on(i, new SpreadEvent.Tick(i < 2));
                if (answersDue.getOrDefault(i, -1) > 0 && answersDue.merge(i, -1, Integer::sum) == 0) {
                    on(
                            i,
                            storeDown
                                    ? new SpreadEvent.StoreFailed()
                                    : new SpreadEvent.StoreHead(head, Map.of(PublicationMachine.hash(text), text)));
                }
                if (now % 1000 == (i * STEP_MS) % 1000) {
                    heartbeats(i);
                }
            }
        }

        /** Heartbeats go both ways on each link. */
        private void heartbeats(int i) {
            for (int peer : links.get(i)) {
                digest(i, peer);
                digest(peer, i);
            }
        }

        private void digest(int from, int to) {
            SpreadController c = controllers.get(from);
            Duration age = c.age(now * MILLI).orElse(Duration.ofDays(1));
            on(to, new SpreadEvent.PeerDigest(from, c.inForce().version(), age));
        }

        private void on(int i, SpreadEvent event) {
            for (SpreadAction a : controllers.get(i).on(event, now * MILLI)) {
                switch (a) {
                    case SpreadAction.AskPeer p -> answer(i, (int) p.peer());
                    case SpreadAction.AskStore s -> {
                        storeCalls++;
                        answersDue.put(i, s.watch() && !storeDown && isCurrent(i) ? 20 : 1);
                    }
                    case SpreadAction.AlarmStoreWentBack b -> alarms++;
                    default -> {
                        // The controller keeps what it installed.
                    }
                }
            }
        }

        private boolean isCurrent(int i) {
            return controllers.get(i).inForce().version() >= head.version();
        }

        private void answer(int to, int from) {
            Configuration c = controllers.get(from).inForce();
            Map<String, Long> versions = new HashMap<>();
            Map<String, String> texts = new HashMap<>();
            c.files().forEach((name, f) -> {
                versions.put(name, f.version());
                texts.put(name, f.text());
            });
            on(to, new SpreadEvent.PeerFiles(from, c.version(), versions, texts));
        }
    }
}
