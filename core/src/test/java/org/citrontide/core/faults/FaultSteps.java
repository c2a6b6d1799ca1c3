package org.citrontide.core.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.cucumber.java.AfterAll;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs each cell of the fault matrix with many seeds, and writes the table of results at the end. */
public final class FaultSteps {
    private static final int SEEDS = 60;
    private static final int PAIR_SEEDS = 8;
    private static final Map<InjectionPoint, String> PAIR_RESULTS = new EnumMap<>(InjectionPoint.class);
    private static final Map<InjectionPoint, Map<Fault, String>> RESULTS = new EnumMap<>(InjectionPoint.class);

    private final List<String> violations = new ArrayList<>();
    private InjectionPoint point;
    private Fault fault;
    private int servedCount;
    private int injectedCount;
    private int requestCount;

    /**
     * Injects one fault at one injection point.
     *
     * @param faultName name of the fault
     * @param pointName name of the injection point
     */
    @When("{word} is injected at {word}")
    public void injectFault(String faultName, String pointName) {
        fault = Fault.valueOf(faultName);
        point = InjectionPoint.valueOf(pointName);
        for (long seed = 0; seed < SEEDS; seed++) {
            run(seed, List.of(fault));
        }
        RESULTS.computeIfAbsent(point, x -> new EnumMap<>(Fault.class))
                .put(fault, violations.isEmpty() ? "passed" : "failed");
    }

    /**
     * Injects each ordered pair of faults at one injection point.
     *
     * @param pointName name of the injection point
     */
    @When("any two faults are injected at {word}")
    public void injectFaultPairs(String pointName) {
        point = InjectionPoint.valueOf(pointName);
        for (Fault first : Fault.values()) {
            for (Fault second : Fault.values()) {
                for (long seed = 0; seed < PAIR_SEEDS; seed++) {
                    run(seed, List.of(first, second));
                }
            }
        }
        PAIR_RESULTS.put(point, violations.isEmpty() ? "passed" : "failed");
    }

    /** Checks that no seed violated an invariant. */
    @Then("no booking has run more than once, every answer is complete, and every not-run verdict is correct")
    public void checkInvariants() {
        assertEquals(List.of(), violations.stream().limit(5).toList(), violations.size() + " violations");
    }

    /** Checks that the faults were injected and that most requests were served nevertheless. */
    @Then("most requests are served nevertheless")
    public void checkMostRequestsServed() {
        assertTrue(injectedCount * 2 > SEEDS, "faults injected: " + injectedCount + ", seeds: " + SEEDS);
        assertTrue(servedCount > requestCount * 3 / 4, servedCount + " of " + requestCount);
    }

    /**
     * Writes the table of results.
     *
     * @throws IOException if the table can't be written
     */
    @AfterAll
    public static void writeTable() throws IOException {
        StringBuilder table = new StringBuilder("# Faults by injection point\n\n");
        table.append("Written by the run of `core`'s `faults.feature`; ").append(SEEDS);
        table.append(" seeds per cell; the fault is injected in more than half of them.\n");
        table.append(
                "Each cell checks that no booking ran more than once, that every answer was complete and its caller's"
                        + " own,\n");
        table.append("that every *not run* was correct, and that every request got exactly one answer.\n\n| fault |");
        for (InjectionPoint column : InjectionPoint.values()) {
            table.append(' ').append(label(column.name())).append(" |");
        }
        table.append("\n|---|")
                .append("---|".repeat(InjectionPoint.values().length))
                .append('\n');
        for (Fault f : Fault.values()) {
            table.append("| ").append(label(f.name())).append(" |");
            for (InjectionPoint column : InjectionPoint.values()) {
                String cell = RESULTS.getOrDefault(column, Map.of()).getOrDefault(f, "not applicable");
                table.append(' ').append(cell).append(" |");
            }
            table.append('\n');
        }
        table.append("| any two faults, ").append(PAIR_SEEDS).append(" seeds per pair |");
        for (InjectionPoint column : InjectionPoint.values()) {
            table.append(' ')
                    .append(PAIR_RESULTS.getOrDefault(column, "not run"))
                    .append(" |");
        }
        table.append('\n');
        Files.createDirectories(Path.of("target"));
        Files.writeString(Path.of("target", "FAULTS.md"), table.toString());
    }

    private void run(long seed, List<Fault> faults) {
        boolean isLocal = point == InjectionPoint.CALL_START || point == InjectionPoint.CALL_RUNNING;
        if (isLocal && (faults.contains(Fault.DUPLICATE_MESSAGE) || faults.contains(Fault.DROP_MESSAGE))) {
            return;
        }
        FaultSimulation simulation = new FaultSimulation(seed, faults, point);
        simulation.run();
        simulation.violations.forEach(v -> violations.add(faults + " seed " + seed + ": " + v));
        injectedCount += simulation.injectedCount;
        if (simulation.allLinksUp) {
            servedCount += simulation.servedNames.size();
            requestCount += 8;
        }
    }

    private static String label(String name) {
        return name.toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
