package org.citrontide.core.faults;

import java.util.ArrayList;
import java.util.List;

import org.citrontide.core.publication.Urgency;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Measures the scheduling policy under overload and with large teams, compares it with a baseline without classes and
 * teams on the same seeds, and checks the targets.
 */
final class PolicyTest {
    private static final int SECONDS = 120;
    private static final long WARM_UP = 20 * EventLoop.SECOND;
    private static final long SEED = 11;

    /** Capacity of all upstreams, in milliseconds of slot time per second. */
    private static final double CAPACITY = PolicySimulation.UPSTREAMS * PolicySimulation.SLOTS * 1000.0;

    private static final PolicySimulation.TrafficSource LIVE = source("farmers", Urgency.LIVE, 0.4, 200, 1800);
    private static final PolicySimulation.TrafficSource DAILY = source("summary", Urgency.DAILY, 0.1, 600, 60_000);
    private static final PolicySimulation.TrafficSource OVERNIGHT =
            source("ledger", Urgency.OVERNIGHT, 0.1, 1500, 60_000);

    @Test
    void overnightOverloadBarelyAffectsLiveRequests() {
        PolicySimulation.Outcome normal =
                run(false, LIVE, DAILY, OVERNIGHT).outcomes.get(LIVE);
        PolicySimulation.TrafficSource flood = source("ledger", Urgency.OVERNIGHT, 5, 1500, 60_000);
        PolicySimulation.Outcome overloaded =
                run(false, LIVE, DAILY, flood).outcomes.get(LIVE);
        PolicySimulation.Outcome baseline =
                run(true, LIVE, DAILY, flood).outcomes.get(LIVE);
        print("overnight-flood live", normal, overloaded, baseline);
        assertAll(
                () -> assertTrue(
                        overloaded.goodput() >= 0.99 * normal.goodput(),
                        "goodput under overload: " + overloaded.goodput()),
                () -> assertTrue(
                        overloaded.p99() <= 1.2 * normal.p99(),
                        overloaded.p99() + " ms p99 under overload, in ms under normal load: " + normal.p99()));
    }

    @Test
    void lowerClassesKeepTheirShareUnderLiveOverload() {
        PolicySimulation.TrafficSource flood = source("farmers", Urgency.LIVE, 5, 200, 1800);
        PolicySimulation.TrafficSource daily = source("summary", Urgency.DAILY, 1, 600, 60_000);
        PolicySimulation.TrafficSource overnight = source("ledger", Urgency.OVERNIGHT, 1, 1500, 60_000);
        PolicySimulation simulation = run(false, flood, daily, overnight);
        double all = simulation.outcomes.values().stream()
                .mapToLong(o -> o.costServed)
                .sum();
        double dailyShare = simulation.outcomes.get(daily).costServed / all;
        double overnightShare = simulation.outcomes.get(overnight).costServed / all;
        System.out.printf("policy live-flood daily-share=%.3f overnight-share=%.3f%n", dailyShare, overnightShare);
        assertAll(
                () -> assertTrue(dailyShare >= 0.95 * 0.15, "share of the daily class: " + dailyShare),
                () -> assertTrue(overnightShare >= 0.95 * 0.05, "share of the overnight class: " + overnightShare));
    }

    @Test
    void smallTeamsKeepTheirGoodputBesideLargeTeams() {
        List<PolicySimulation.TrafficSource> sources = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            sources.add(source("small" + i, Urgency.LIVE, 0.05, 200, 1800));
        }
        for (int i = 0; i < 3; i++) {
            sources.add(source("large" + i, Urgency.LIVE, 2, 800, 1800));
        }
        PolicySimulation fair = run(false, sources.toArray(PolicySimulation.TrafficSource[]::new));
        PolicySimulation baseline = run(true, sources.toArray(PolicySimulation.TrafficSource[]::new));
        double worst = worstSmall(fair, sources);
        System.out.printf(
                "policy large-callers small-teams-goodput=%.3f plain=%.3f jain=%.3f plain=%.3f%n",
                worst, worstSmall(baseline, sources), jain(fair, sources), jain(baseline, sources));
        assertAll(
                () -> assertTrue(worst >= 0.99, "lowest goodput of a small team: " + worst),
                () -> assertTrue(jain(fair, sources) >= 0.95, "Jain's fairness index: " + jain(fair, sources)));
    }

    private static double worstSmall(PolicySimulation simulation, List<PolicySimulation.TrafficSource> sources) {
        return sources.stream()
                .filter(s -> s.team().startsWith("small"))
                .mapToDouble(s -> simulation.outcomes.get(s).goodput())
                .min()
                .orElseThrow();
    }

    /** Jain's fairness index of cost served relative to the amount due: the lesser of demand and fair share. */
    private static double jain(PolicySimulation simulation, List<PolicySimulation.TrafficSource> sources) {
        double small = 0.05 * 7;
        double largeShare = (1 - small) / 3;
        double sum = 0;
        double squares = 0;
        for (PolicySimulation.TrafficSource s : sources) {
            double due = (s.team().startsWith("small") ? 0.05 : largeShare) * CAPACITY * SECONDS;
            double x = Math.min(1, simulation.outcomes.get(s).costServed / due);
            sum += x;
            squares += x * x;
        }
        return sum * sum / (sources.size() * squares);
    }

    private static PolicySimulation run(boolean baseline, PolicySimulation.TrafficSource... sources) {
        PolicySimulation simulation = new PolicySimulation(SEED, baseline, WARM_UP);
        simulation.run(List.of(sources), SECONDS);
        return simulation;
    }

    /** Creates a source whose demand is the given fraction of the capacity. */
    private static PolicySimulation.TrafficSource source(
            String team, Urgency u, double fraction, int cost, long target) {
        return new PolicySimulation.TrafficSource(team, u, fraction * CAPACITY / cost, cost, target);
    }

    private static void print(
            String name,
            PolicySimulation.Outcome normal,
            PolicySimulation.Outcome overloaded,
            PolicySimulation.Outcome baseline) {
        System.out.printf(
                "policy %s goodput calm=%.3f flood=%.3f plain=%.3f p99-ms calm=%d flood=%d plain=%d%n",
                name,
                normal.goodput(),
                overloaded.goodput(),
                baseline.goodput(),
                normal.p99(),
                overloaded.p99(),
                baseline.p99());
    }
}
