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

/** Runs one cell of the fault matrix by many seeds, and writes the table at the end. */
public final class FaultSteps {
    private static final int SEEDS = 60;
    private static final int PAIR_SEEDS = 8;
    private static final Map<Step, String> PAIRS = new EnumMap<>(Step.class);
    private static final Map<Step, Map<Fault, String>> CELLS = new EnumMap<>(Step.class);

    private final List<String> violations = new ArrayList<>();
    private Step step;
    private Fault fault;
    private int completed;
    private int struck;
    private int asked;

    /**
     * Strikes with one fault at one step.
     *
     * @param faultName the fault
     * @param stepName the step
     */
    @When("{word} strikes at {word}")
    public void strikes(String faultName, String stepName) {
        fault = Fault.valueOf(faultName);
        step = Step.valueOf(stepName);
        for (long seed = 0; seed < SEEDS; seed++) {
            run(seed, List.of(fault));
        }
        CELLS.computeIfAbsent(step, x -> new EnumMap<>(Fault.class))
                .put(fault, violations.isEmpty() ? "proved" : "open");
    }

    /**
     * Strikes with each pair of faults at one step.
     *
     * @param stepName the step
     */
    @When("any two faults strike at {word}")
    public void strikeTogether(String stepName) {
        step = Step.valueOf(stepName);
        for (Fault first : Fault.values()) {
            for (Fault second : Fault.values()) {
                for (long seed = 0; seed < PAIR_SEEDS; seed++) {
                    run(seed, List.of(first, second));
                }
            }
        }
        PAIRS.put(step, violations.isEmpty() ? "proved" : "open");
    }

    /** Checks the invariants. */
    @Then("each booking ran at most once, each answer is whole, and each not-run is true")
    public void holds() {
        assertEquals(List.of(), violations.stream().limit(5).toList(), violations.size() + " violations");
    }

    /** Checks that the system is not merely silent, and that the fault did strike. */
    @Then("most requests are served all the same")
    public void served() {
        assertTrue(struck * 2 > SEEDS, "struck by " + struck + " seeds of " + SEEDS);
        assertTrue(completed > asked * 3 / 4, completed + " of " + asked);
    }

    /**
     * Writes the table of cells.
     *
     * @throws IOException if the table can't be written
     */
    @AfterAll
    public static void writeTable() throws IOException {
        StringBuilder b = new StringBuilder("# Faults by steps\n\n");
        b.append("Written by the run of `core`'s `faults.feature`; ").append(SEEDS);
        b.append(" seeds a cell, the fault striking in more than half of them.\n");
        b.append(
                "Each cell checks that every booking ran at most once, every answer was whole and the caller's own,\n");
        b.append("every *not run* was true, and every request got one answer.\n\n| fault |");
        for (Step s : Step.values()) {
            b.append(' ').append(label(s.name())).append(" |");
        }
        b.append("\n|---|").append("---|".repeat(Step.values().length)).append('\n');
        for (Fault f : Fault.values()) {
            b.append("| ").append(label(f.name())).append(" |");
            for (Step s : Step.values()) {
                String cell = CELLS.getOrDefault(s, Map.of()).getOrDefault(f, "does not apply");
                b.append(' ').append(cell).append(" |");
            }
            b.append('\n');
        }
        b.append("| any two of these, ").append(PAIR_SEEDS).append(" seeds a pair |");
        for (Step s : Step.values()) {
            b.append(' ').append(PAIRS.getOrDefault(s, "not run")).append(" |");
        }
        b.append('\n');
        Files.createDirectories(Path.of("target"));
        Files.writeString(Path.of("target", "FAULTS.md"), b.toString());
    }

    private void run(long seed, List<Fault> faults) {
        boolean local = step == Step.CALL_LEAVING || step == Step.CALL_RUNNING;
        if (local && (faults.contains(Fault.DOUBLE_MESSAGE) || faults.contains(Fault.LOSE_MESSAGE))) {
            return;
        }
        FaultWorld w = new FaultWorld(seed, faults, step);
        w.run();
        w.violations.forEach(v -> violations.add(faults + " seed " + seed + ": " + v));
        struck += w.struck;
        if (w.entriesAgree) {
            completed += w.served.size();
            asked += 8;
        }
    }

    private static String label(String name) {
        return name.toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
