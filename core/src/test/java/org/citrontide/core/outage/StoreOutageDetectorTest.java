package org.citrontide.core.outage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays upstreams with heartbeats, a store and the reads of one gateway in virtual time. */
final class StoreOutageDetectorTest {
    private static final double HEARTBEAT_SECONDS = 1.2;
    private static final double READ_SECONDS = 0.75;
    private static final double START_SECONDS = 20;
    private static final int SEEDS = 200;

    private final StoreOutageDetector detector = new StoreOutageDetector();

    /** Guards against a silent connection that passes for an outage, so that removed upstreams get more work. */
    @Test
    void anUnansweredCallWhileTheStoreTakesHeartbeatsIsNoOutage() {
        for (int upstreams : new int[] {1, 2, 3, 19, 200}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Play play = new Play(upstreams, seed);
                play.readUntilStart();
                play.detector.recordUnansweredCall(nanos(play.now));
                assertEquals(Optional.empty(), play.readAfter(2.55 + seed % 10 * 0.1), "seed " + seed);
            }
        }
    }

    /** Guards against entries that expire in an outage whose only sign is a call without an answer. */
    @Test
    void anUnansweredCallWithoutHeartbeatsIsAnOutage() {
        for (int upstreams : new int[] {3, 19, 200}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Play play = new Play(upstreams, seed);
                play.readUntilStart();
                play.storeAwayFor(2.6);
                play.detector.recordUnansweredCall(nanos(play.now));
                assertTrue(play.readAfter(2.6).isPresent(), "seed " + seed);
            }
        }
    }

    /** Guards against an outage that is overlooked because upstreams write as soon as the store is back. */
    @Test
    void anOutageIsDetectedAlthoughUpstreamsWriteAgainBeforeTheFirstRead() {
        for (int upstreams : new int[] {3, 19, 200}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Play play = new Play(upstreams, seed);
                play.readUntilStart();
                play.readAfter(READ_SECONDS);
                play.storeAwayFor(4);
                play.detector.recordFailedCall(nanos(play.now));
                assertTrue(play.readAfter(4 + 0.9).isPresent(), "seed " + seed);
            }
        }
    }

    /** Guards against entries that are kept because the store turned this gateway away, but no upstream. */
    @Test
    void refusedCallsWhileTheStoreTakesHeartbeatsAreNoOutage() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(19, seed);
            play.readUntilStart();
            play.detector.recordFailedCall(nanos(play.now));
            assertEquals(Optional.empty(), play.readAfter(5), "seed " + seed);
        }
    }

    /** Guards against a second outage that is overlooked because the first one slowed the expected heartbeats. */
    @Test
    void outagesInCloseSuccessionAreEachDetected() {
        Play play = new Play(19, 1);
        play.readUntilStart();
        for (int i = 0; i < 5; i++) {
            play.storeAwayFor(5);
            play.detector.recordFailedCall(nanos(play.now));
            assertTrue(play.readAfter(5.1).isPresent(), "outage " + i);
            play.readAfter(READ_SECONDS);
        }
    }

    @Test
    void withoutKnownHeartbeatsTheCallsOfTheGatewayDecide() {
        detector.recordServed(Heartbeats.UNKNOWN, 0);
        detector.recordUnansweredCall(nanos(4));
        assertEquals(Optional.empty(), detector.recordServed(Heartbeats.UNKNOWN, nanos(5)));
        detector.recordFailedCall(nanos(9));
        assertEquals(Optional.of(Duration.ofSeconds(5)), detector.recordServed(Heartbeats.UNKNOWN, nanos(10)));
    }

    @Test
    void proofOfAnEarlierServiceChangesNothing() {
        detector.recordServed(Heartbeats.UNKNOWN, nanos(10));
        detector.recordFailedCall(nanos(11));
        assertEquals(Optional.empty(), detector.recordServed(Heartbeats.UNKNOWN, nanos(9)));
        assertEquals(Optional.of(Duration.ofSeconds(3)), detector.recordServed(Heartbeats.UNKNOWN, nanos(13)));
    }

    /** Guards against an outage that is overlooked because a peer's copy from before the failed call arrives late. */
    @Test
    void proofOfServiceBeforeAFailedCallDoesNotExplainIt() {
        detector.recordServed(Heartbeats.UNKNOWN, nanos(10));
        detector.recordFailedCall(nanos(11));
        assertEquals(Optional.empty(), detector.recordServed(Heartbeats.UNKNOWN, nanos(10.5)));
        assertEquals(Optional.of(Duration.ofSeconds(3)), detector.recordServed(Heartbeats.UNKNOWN, nanos(13.5)));
    }

    /** Guards against an entry of another writer whose numbers hide that no upstream has written. */
    @Test
    void aNumberThatIsNoHeartbeatDoesNotHideAnOutage() {
        Play play = new Play(19, 1);
        play.readUntilStart();
        play.storeAwayFor(4);
        play.detector.recordFailedCall(nanos(play.now));
        play.extra.put("u0", 100L);
        assertTrue(play.readAfter(4).isPresent());
    }

    private static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    /** Upstreams that write at their own phases, a tenth early or late, and at once when the store is back. */
    private static final class Play {
        private final StoreOutageDetector detector = new StoreOutageDetector();
        private final SplittableRandom random;
        private final double[] nextWrite;
        private final Map<String, Long> extra = new HashMap<>();
        private double now;
        private double awayUntil;

        Play(int upstreams, int seed) {
            random = new SplittableRandom(seed);
            nextWrite = random.doubles(upstreams, 0, HEARTBEAT_SECONDS).toArray();
        }

        void readUntilStart() {
            while (now < START_SECONDS) {
                assertEquals(Optional.empty(), readAfter(READ_SECONDS));
            }
        }

        void storeAwayFor(double seconds) {
            awayUntil = now + seconds;
        }

        Optional<Duration> readAfter(double seconds) {
            now += seconds;
            Map<String, Long> counts = new HashMap<>(extra);
            for (int i = 0; i < nextWrite.length; i++) {
                long count = 0;
                for (; nextWrite[i] <= now; nextWrite[i] += HEARTBEAT_SECONDS * random.nextDouble(0.9, 1.1)) {
                    if (nextWrite[i] < awayUntil) {
                        nextWrite[i] = awayUntil + random.nextDouble(0.1);
                    }
                    count += nextWrite[i] <= now ? 1 : 0;
                }
                counts.merge("u" + i, count, Long::sum);
            }
            return detector.recordServed(new Heartbeats(counts, Set.of()), nanos(now));
        }
    }
}
