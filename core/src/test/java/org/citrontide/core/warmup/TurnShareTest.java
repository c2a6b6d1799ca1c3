package org.citrontide.core.warmup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.citrontide.core.routes.ColdRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Lets gateways send as often as their shares permit. Guards against shares that add up to more than an upstream takes:
 * in bursts after idle time, with clocks that differ, with rosters that differ, and after restarts.
 */
final class TurnShareTest {
    private static final long MS = 1_000_000;
    private static final int SEEDS = 20;
    private static final int END_MS = 8_000;
    private static final int SECOND_MS = 1_000;
    private static final int MAX_SKEW_MS = 200;
    private static final double[] RATES = {0.5, 2, 18, 100};
    private static final ColdSettings SETTINGS = new ColdSettings(1.5, 5);

    @ParameterizedTest
    @CsvSource({"1", "2", "8", "17", "46", "100"})
    void theSharesStayWithinTheBoundInEverySecond(int gateways) {
        for (double rate : RATES) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                String message = gateways + " gateways, rate " + rate + ", seed " + seed;
                int max = maxWithinSecond(gateways, rate, seed);
                assertTrue(max <= 1.5 * rate + 5, message + ": " + max);
            }
        }
    }

    // Guards against a rate that is divided, but of which little can be used.
    @ParameterizedTest
    @CsvSource({"1", "8", "17", "46"})
    void theSharesTogetherAreTheWholeRate(int gateways) {
        for (double rate : RATES) {
            List<Long> sent = new ArrayList<>();
            for (int g = 0; g < gateways; g++) {
                send(share(order(g, gateways, 0), rate, 0), 0, 200_000, sent);
            }
            assertEquals(rate * 200, sent.size(), rate * 200 * 0.05 + gateways, gateways + " gateways, rate " + rate);
        }
    }

    @Test
    void aClockThatIsSetBackDoesNotBlockAShare() {
        TurnShare share = share(order(0, 8, 0), 18, 0);
        List<Long> sent = new ArrayList<>();
        send(share, 0, 5_000, sent);
        share.setOrder(order(0, 8, 3_600_000L * MS), 5_000 * MS);
        int before = sent.size();
        send(share, 5_000, 10_000, sent);
        assertEquals(before, sent.size() - before, 2);
    }

    // The epoch is read again every second with the precision of the wall clock.
    @Test
    void aTurnIsNotUsedTwiceWhenTheEpochIsRounded() {
        for (int skewMs : new int[] {-1, 1}) {
            TurnShare share = share(order(0, 1, 0), 100, 0);
            List<Long> sent = new ArrayList<>();
            for (int ms = 0; ms < 10_000; ms += 10) {
                send(share, ms, ms + 10, sent);
                share.setOrder(order(0, 1, (ms / 10 % 2) * skewMs * MS), ms * MS);
            }
            assertEquals(1_000, sent.size(), 100);
        }
    }

    private static int maxWithinSecond(int gateways, double rate, int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> sent = new ArrayList<>();
        int startMs = random.nextInt(3_000);
        int restartMs = startMs + random.nextInt(2_000);
        for (int g = 0; g < gateways; g++) {
            long epoch = random.nextInt(MAX_SKEW_MS) * MS;
            // The last gateway is new, and one in eight has not heard of it.
            boolean isStale = g % 8 == 3 && g < gateways - 1;
            TurnOrder order = isStale ? order(g, gateways - 1, epoch) : order(g, gateways, epoch);
            boolean isRestarted = g < 2;
            send(share(order, rate, 0), startMs, isRestarted ? restartMs + g * 1_000 : END_MS, sent);
            if (isRestarted) {
                int againMs = restartMs + g * 1_000 + random.nextInt(1, 300);
                TurnOrder settling = TurnOrder.of(g, gateways, 1, epoch, Duration.ZERO);
                send(share(settling, rate, againMs * MS), againMs, END_MS, sent);
            }
        }
        return maxWithinSecond(sent);
    }

    private static int maxWithinSecond(List<Long> sent) {
        List<Long> sorted = sent.stream().sorted().toList();
        int max = 0;
        int from = 0;
        for (int i = 0; i < sorted.size(); i++) {
            while (sorted.get(i) - sorted.get(from) >= SECOND_MS) {
                from++;
            }
            max = Math.max(max, i - from + 1);
        }
        return max;
    }

    private static void send(TurnShare share, int fromMs, int toMs, List<Long> sent) {
        for (long ms = fromMs; ms < toMs; ms++) {
            while (share.nextOpenNanos(1, ms * MS) <= ms * MS) {
                share.recordSent(1, ms * MS);
                sent.add(ms);
            }
        }
    }

    private static TurnOrder order(int index, int count, long epochNanos) {
        return TurnOrder.of(index, count, 1, epochNanos, TurnOrder.SETTLING);
    }

    private static TurnShare share(TurnOrder order, double rate, long nowNanos) {
        return new TurnShare("u", new ColdRule(Duration.ofSeconds(3), rate), SETTINGS, order, nowNanos);
    }
}
