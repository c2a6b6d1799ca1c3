package org.citrontide.core.gateway;

import org.citrontide.core.gateway.CrashingPromptSimulation.Plan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays 52 sound requests per second on 180 subjects beside requests that crash each upstream that begins to answer
 * them. Guards against prompts that crash one upstream after the other, and against refusing sound ones instead.
 */
final class CrashingPromptLoadTest {
    private static final int SEEDS = 10;
    private static final int END_MS = 60_000;
    // From the users' pages: the time after a crash within which all gateways must know of it, and the number of
    // requests with the part that may still be sent after the fifth one.
    private static final int KNOWN_AFTER_MS = 3_000;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final double MIN_SOUND_SHARE = 0.5;
    private static final double MAX_SOUND_REFUSED = 0.01;

    @ParameterizedTest
    @CsvSource({
        // gateways, turned away by the store, groups, one subject, from ms, requests per s
        "8, 0, 1, false, 8000, 1.5",
        "8, 0, 1, false, 100, 1.5",
        "8, 0, 1, true, 8000, 1.5",
        "8, 0, 1, true, 100, 1.5",
        "8, 0, 0, false, 8000, 1.5",
        "8, 0, 0, true, 100, 5",
        "8, 0, 1, false, 8000, 10",
        "8, 0, 2, true, 8000, 5",
        "8, 0, 2, true, 100, 15",
        "39, 0, 1, false, 100, 3",
        "39, 0, 1, true, 8000, 15",
        "39, 0, 0, false, 8000, 10",
        "8, 3, 1, true, 8000, 5",
        "39, 14, 1, true, 100, 1.5",
        "39, 14, 1, true, 8000, 5"
    })
    void aPartThatCrashesUpstreamsIsKeptFromThem(
            int gateways, int turnedAway, int groups, boolean hasOneSubject, int fromMs, double perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            CrashingPromptSimulation s = new CrashingPromptSimulation(
                    new Plan(gateways, groups, true, turnedAway, hasOneSubject, fromMs, 50_000, perSecond / 1000, 0),
                    seed);
            s.simulate(END_MS);
            assertTrue(
                    s.lateArrivals(KNOWN_AFTER_MS) <= MAX_LATE_ARRIVALS,
                    "seed " + seed + ": " + s.lateArrivals(KNOWN_AFTER_MS) + " sent after the fifth crash, crashes at "
                            + s.crashMs);
            double sound = s.soundShare(s.crashMs.getLast() + 2 * KNOWN_AFTER_MS, 50_000);
            assertTrue(sound >= MIN_SOUND_SHARE, "seed " + seed + ": share of the sound requests answered " + sound);
            double common = s.commonSubjectShare(s.crashMs.getLast() + 2 * KNOWN_AFTER_MS, 50_000);
            assertTrue(common >= MIN_SOUND_SHARE, "seed " + seed + ": the same on the common subject " + common);
            assertTrue(
                    s.soundQuarantinedShare() <= MAX_SOUND_REFUSED,
                    "seed " + seed + ": share of the sound requests refused for their parts "
                            + s.soundQuarantinedShare());
        }
    }

    @ParameterizedTest
    @CsvSource({"8, 1, 5000", "8, 0, 400", "39, 1, 6000"})
    void soundPromptsAreNotRefusedWhenUpstreamsCrashByChance(int gateways, int groups, int intervalMs) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            CrashingPromptSimulation s =
                    new CrashingPromptSimulation(new Plan(gateways, groups, true, 0, false, 0, 0, 0, intervalMs), seed);
            s.simulate(END_MS);
            assertTrue(
                    s.soundQuarantinedShare() <= MAX_SOUND_REFUSED,
                    "seed " + seed + ": share of the sound requests refused for their parts "
                            + s.soundQuarantinedShare());
        }
    }

    @Test
    void gatewaysWithoutTheStoreLearnOnTheirOwn() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            int gateways = 8;
            CrashingPromptSimulation s =
                    new CrashingPromptSimulation(new Plan(gateways, 0, false, 0, false, 8_000, 50_000, 0.005, 0), seed);
            s.simulate(END_MS);
            // Each gateway needs two incidents, and may have another request in flight in each of them.
            assertTrue(s.crashMs.size() <= 4 * gateways, s.crashMs.size() + " crashes");
        }
    }
}
