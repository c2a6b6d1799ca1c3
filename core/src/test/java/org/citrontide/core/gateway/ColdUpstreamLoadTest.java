package org.citrontide.core.gateway;

import org.citrontide.core.gateway.ColdUpstreamSimulation.Plan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays requests at many gateways while upstreams are cold. Guards against cold upstreams that crash because each
 * gateway counts only its own requests, or because gateways that restart or differ in their rosters and clocks send
 * their requests at once.
 */
final class ColdUpstreamLoadTest {
    private static final int SEEDS = 5;
    private static final int MAX_DELAY_MS = 40;
    private static final int MAX_SKEW_MS = 200;

    @ParameterizedTest
    @CsvSource({
        // gateways, working ones, upstreams, cold, cold rate, requests per s, whether they crash without the decision
        "1, 1, 63, 1, 18, 179, false",
        "1, 1, 63, 63, 18, 179, false",
        "1, 1, 3, 3, 18, 100, true",
        "8, 8, 63, 1, 18, 400, false",
        "8, 8, 3, 3, 18, 100, true",
        "8, 8, 3, 3, 100, 400, true",
        "17, 17, 63, 1, 18, 400, false",
        "17, 17, 72, 72, 2, 206, true",
        "17, 17, 3, 3, 18, 206, true",
        "46, 46, 63, 1, 18, 400, false",
        "46, 46, 63, 63, 18, 400, false",
        "46, 46, 63, 63, 2, 179, true",
        "46, 46, 3, 3, 2, 60, true",
        "46, 46, 3, 3, 18, 179, true",
        "46, 46, 3, 3, 100, 600, true",
        "46, 2, 3, 3, 18, 60, true"
    })
    void aColdUpstreamNeverCrashes(
            int gateways,
            int working,
            int upstreams,
            int cold,
            double perSecond,
            double requestsPerSecond,
            boolean isCrashingWithout) {
        int crashesWithout = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Plan plan = plan(gateways, working, upstreams, cold, perSecond, requestsPerSecond, true, true);
            ColdUpstreamSimulation s = play(plan, seed);
            ColdUpstreamSimulation without = play(withoutDecision(plan), seed);
            String message = describe(plan, seed, s) + " | without " + describe(without);
            if (Boolean.getBoolean("cold.print")) {
                System.out.println(message);
            }
            assertEquals(0, s.crashes, message);
            assertTrue(s.toCold > 0, message);
            crashesWithout += without.crashes;
        }
        assertEquals(isCrashingWithout, crashesWithout > 0, "the load doesn't test the decision");
    }

    // Guards against requests that wait in vain: most of those that are refused are refused when they arrive.
    @ParameterizedTest
    @CsvSource({"8, 100, 0.5", "17, 206, 0.3", "46, 179, 0.3"})
    void mostRequestsThatGetNoTurnAreRefusedAtOnce(int gateways, double requestsPerSecond, double maxLateShare) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Plan plan = plan(gateways, gateways, 3, 3, 18, requestsPerSecond, true, true);
            ColdUpstreamSimulation s = play(plan, seed);
            ColdUpstreamSimulation without = play(withoutDecision(plan), seed);
            assertTrue(s.refusedLate <= maxLateShare * s.failed, describe(plan, seed, s));
            assertTrue(s.served > without.served, describe(plan, seed, s) + " | without " + describe(without));
        }
    }

    @Test
    void gatewaysThatDoNotKnowTheOthersKeepTheBoundTogether() {
        for (double perSecond : new double[] {2, 18, 100}) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                Plan plan = plan(100, 100, 3, 3, perSecond, 10 * perSecond, false, true);
                ColdUpstreamSimulation s = play(plan, seed);
                assertEquals(0, s.crashes, describe(plan, seed, s));
                assertTrue(s.toCold > 0, "some requests are sent nevertheless");
            }
        }
    }

    private static Plan plan(
            int gateways,
            int working,
            int upstreams,
            int cold,
            double perSecond,
            double requestsPerSecond,
            boolean isRosterKnown,
            boolean isEnabled) {
        return new Plan(
                gateways,
                working,
                upstreams,
                cold,
                perSecond,
                requestsPerSecond,
                MAX_DELAY_MS,
                MAX_SKEW_MS,
                isRosterKnown,
                isEnabled);
    }

    private static Plan withoutDecision(Plan p) {
        return plan(
                p.gateways(),
                p.working(),
                p.upstreams(),
                p.cold(),
                p.coldPerSecond(),
                p.requestsPerSecond(),
                p.isRosterKnown(),
                false);
    }

    private static ColdUpstreamSimulation play(Plan plan, int seed) {
        ColdUpstreamSimulation s = new ColdUpstreamSimulation(plan, seed);
        s.simulate();
        return s;
    }

    private static String describe(Plan p, int seed, ColdUpstreamSimulation s) {
        return "g=" + p.gateways() + "/" + p.working() + " u=" + p.cold() + "/" + p.upstreams() + " rate="
                + p.coldPerSecond() + " demand=" + p.requestsPerSecond() + " seed=" + seed + ": " + describe(s);
    }

    private static String describe(ColdUpstreamSimulation s) {
        return "max=" + s.maxWithinSecond + " crashes=" + s.crashes + " served=" + s.served + " failed=" + s.failed
                + " refusedLate=" + s.refusedLate + " held=" + s.held + " toCold=" + s.toCold;
    }
}
