package org.citrontide.core.gateway;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.citrontide.core.gateway.PlacementSimulation.Result;
import org.citrontide.core.gateway.PlacementSimulation.Rule;
import org.citrontide.core.gateway.PlacementSimulation.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a placement by expected cost that serves fewer requests on time than one by counted requests, and
 * against an estimate without effect.
 */
final class ExpectedCostLoadTest {
    private static final boolean IS_ESTIMATING = !Boolean.getBoolean("test.estimate.off");
    private static final int SEEDS = 6;
    private static final double TOLERANCE = 0.02;

    static List<Scenario> all() {
        return List.of(
                Scenario.plain(1, 3, 0.8, 1, 0),
                Scenario.plain(8, 5, 0.7, 3, 0),
                Scenario.plain(46, 5, 0.7, 3, 0),
                Scenario.plain(17, 16, 0.8, 1, 0.3),
                Scenario.group(1, 3, 0.6, 0.7, 1),
                Scenario.group(8, 16, 0.6, 0.7, 1),
                Scenario.group(17, 72, 0.45, 0.7, 1),
                Scenario.group(46, 72, 0.45, 0.7, 1));
    }

    static List<Scenario> whereCostsDiffer() {
        return List.of(
                Scenario.group(1, 16, 0.6, 0.7, 1),
                Scenario.group(1, 72, 0.45, 0.7, 1),
                Scenario.group(1, 72, 0.45, 1.5, 3),
                Scenario.group(8, 72, 0.45, 0.7, 1));
    }

    @ParameterizedTest
    @MethodSource("all")
    void isNeverClearlyWorseThanCountedRequests(Scenario scenario) {
        Map<Rule, Result> results = play(scenario);
        Result counted = results.get(Rule.COUNTED);
        Result expected = results.get(Rule.EXPECTED);
        assertTrue(expected.onTime() >= counted.onTime() * (1 - TOLERANCE));
        assertTrue(expected.onTimeSmallest() >= counted.onTimeSmallest() * (1 - TOLERANCE));
        // About a tenth of the samples: its share varies by 0.04 from one set of seeds to another.
        assertTrue(expected.onTimeLargest() >= counted.onTimeLargest() - 0.05);
        assertTrue(expected.p99() <= counted.p99() * (1 + TOLERANCE));
    }

    @ParameterizedTest
    @MethodSource("whereCostsDiffer")
    void isBetterWhereCostsDiffer(Scenario scenario) {
        Map<Rule, Result> results = play(scenario);
        assertTrue(
                results.get(Rule.EXPECTED).onTime() >= results.get(Rule.COUNTED).onTime() + 0.03);
    }

    // The gain must not come from the relative latency alone.
    @Test
    void theEstimateGainsBeyondTheRelativeLatency() {
        Scenario scenario = Scenario.group(1, 72, 0.45, 0.7, 1);
        Result counted = PlacementSimulation.run(scenario, Rule.COUNTED_RELATIVE, true, SEEDS);
        Result expected = PlacementSimulation.run(scenario, Rule.EXPECTED, IS_ESTIMATING, SEEDS);
        assertTrue(expected.onTime() >= counted.onTime() + 0.1);
    }

    private static Map<Rule, Result> play(Scenario scenario) {
        Map<Rule, Result> results = new EnumMap<>(Rule.class);
        boolean isFull = Boolean.getBoolean("test.all.rules");
        List<Rule> rules = isFull ? List.of(Rule.values()) : List.of(Rule.COUNTED, Rule.EXPECTED);
        for (Rule rule : rules) {
            Result result = PlacementSimulation.run(scenario, rule, IS_ESTIMATING, SEEDS);
            System.out.println(scenario + " " + rule + " " + result);
            results.put(rule, result);
        }
        return results;
    }
}
