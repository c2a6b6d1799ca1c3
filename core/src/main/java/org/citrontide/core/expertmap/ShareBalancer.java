package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides the tokens of each expert among its replicas so that the ranks finish at the same time; moves no experts.
 *
 * <p>Uses iterated water-filling: in each round, each replicated expert distributes its load so that its ranks reach a
 * common finish time, given the load of all other experts. Invariant: the shares of an expert add up to 1. Not
 * thread-safe.
 */
final class ShareBalancer {
    private static final int ROUNDS = 40;

    /** A slot that holds a replica of an expert. */
    private record Slot(int rank, int index) {}

    private final int[][] experts;
    private final double[][] shares;
    private final RankLoads loads;
    private final double[] rankWork;
    private final List<List<Slot>> slotsByExpert = new ArrayList<>();

    ShareBalancer(ExpertMap map, RankLoads loads) {
        this.experts = map.experts();
        this.loads = loads;
        this.shares = new double[experts.length][];
        this.rankWork = new double[experts.length];
        for (int e = 0; e < loads.experts(); e++) {
            slotsByExpert.add(new ArrayList<>());
        }
        for (int r = 0; r < experts.length; r++) {
            shares[r] = map.shares()[r].clone();
            for (int s = 0; s < experts[r].length; s++) {
                slotsByExpert.get(experts[r][s]).add(new Slot(r, s));
                rankWork[r] += shares[r][s] * loads.expertLoads()[experts[r][s]];
            }
        }
    }

    ExpertMap balance() {
        for (int round = 0; round < ROUNDS; round++) {
            for (int e = 0; e < slotsByExpert.size(); e++) {
                if (slotsByExpert.get(e).size() > 1 && loads.expertLoads()[e] > 0) {
                    distribute(loads.expertLoads()[e], slotsByExpert.get(e));
                }
            }
        }
        return new ExpertMap(experts, shares);
    }

    /** Raises the earliest finishing ranks to the common level at which the expert's whole load is assigned. */
    private void distribute(double load, List<Slot> slots) {
        for (Slot slot : slots) {
            rankWork[slot.rank()] -= load * shares[slot.rank()][slot.index()];
        }
        List<Slot> byFinishTime = new ArrayList<>(slots);
        byFinishTime.sort(Comparator.comparingDouble(slot -> rankWork[slot.rank()] / speed(slot)));
        double level = level(load, byFinishTime);
        for (Slot slot : slots) {
            double assigned = Math.max(0, level * speed(slot) - rankWork[slot.rank()]);
            rankWork[slot.rank()] += assigned;
            shares[slot.rank()][slot.index()] = assigned / load;
        }
    }

    private double level(double load, List<Slot> byFinishTime) {
        double speedSum = 0;
        double workSum = load;
        double level = 0;
        for (Slot slot : byFinishTime) {
            if (speedSum > 0 && level <= rankWork[slot.rank()] / speed(slot)) {
                break;
            }
            speedSum += speed(slot);
            workSum += rankWork[slot.rank()];
            level = workSum / speedSum;
        }
        return level;
    }

    private double speed(Slot slot) {
        return loads.rankSpeeds()[slot.rank()];
    }
}
