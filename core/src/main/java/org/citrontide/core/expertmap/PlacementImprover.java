package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Improves the map of one set of experts by a greedy local search, because a rank can load only a few new experts at a
 * time.
 *
 * <p>Handles demand that suddenly concentrates on a few experts. A pass lasts as long as its most loaded rank takes, so
 * each step considers the few most loaded ranks: it adds a replica of one of their experts to another rank, swaps an
 * expert with another rank, or removes an expert that other ranks hold too, whichever reduces the norm of the rank
 * times most.
 *
 * <p>Invariants: each expert stays on at least one rank; no rank holds an expert twice, more experts than it has slots,
 * or more new experts than allowed; the replicas of an expert get equal shares of its tokens. Not thread-safe.
 */
public final class PlacementImprover {
    // High enough for the most loaded rank to dominate, low enough for the next ones to count.
    private static final int NORM_ORDER = 8;
    private static final int HOT_RANKS = 3;
    // Ranks that take load over from a hot rank. The others of a large group are closer to the mean, and gain little.
    private static final int COLD_RANKS = 16;
    private static final int FREE = -1;

    private final RankLoads loads;
    private final int maxNewPerRank;
    private final int[][] slots;
    private final boolean[][] initiallyHeld;
    private final boolean[][] held;
    private final int[] replicas;
    /** Ranks that hold each expert, the first {@code replicas[e]} elements of a row. */
    private final int[][] holders;

    private final int[] added;
    private final double[] rankTimes;
    /** Sum of the rank times to the power of {@link #NORM_ORDER}. */
    private double normSum;

    /**
     * Creates a search that starts from the map in force.
     *
     * @param current map in force
     * @param loads loads of the experts and speeds of the ranks
     * @param maxNewPerRank maximum number of new experts per rank
     */
    public PlacementImprover(ExpertMap current, RankLoads loads, int maxNewPerRank) {
        this.loads = loads;
        this.maxNewPerRank = maxNewPerRank;
        int ranks = loads.ranks();
        slots = new int[ranks][loads.slotsPerRank()];
        initiallyHeld = new boolean[ranks][loads.experts()];
        held = new boolean[ranks][loads.experts()];
        replicas = new int[loads.experts()];
        holders = new int[loads.experts()][ranks];
        added = new int[ranks];
        rankTimes = new double[ranks];
        for (int r = 0; r < ranks; r++) {
            Arrays.fill(slots[r], FREE);
            for (int s = 0; s < current.experts()[r].length; s++) {
                int e = current.experts()[r][s];
                slots[r][s] = e;
                initiallyHeld[r][e] = true;
                held[r][e] = true;
                holders[e][replicas[e]++] = r;
            }
        }
    }

    /**
     * Searches for a better map.
     *
     * @param maxSteps maximum number of changes
     * @param minGain fraction by which each change must reduce the norm of the rank times, because it may copy experts
     * @return the best map found, which may be the one in force
     */
    public ExpertMap improve(int maxSteps, double minGain) {
        for (int i = 0; i < maxSteps; i++) {
            Optional<Change> best = bestChange(minGain);
            if (best.isEmpty()) {
                break;
            }
            apply(best.get());
        }
        return map();
    }

    /** A change of one slot, or of two slots in a swap. */
    private record Change(int rank, int slot, int expert, int otherRank, int otherSlot, int otherExpert) {
        private static Change single(int rank, int slot, int expert) {
            return new Change(rank, slot, expert, FREE, FREE, FREE);
        }
    }

    private Optional<Change> bestChange(double minGain) {
        updateRankTimes();
        int[] byLoad = ranksByLoad();
        int[] coldest = Arrays.copyOf(byLoad, Math.min(COLD_RANKS, byLoad.length));
        double lowestCost = norm() * (1 - minGain);
        Change best = null;
        for (int i = 1; i <= Math.min(HOT_RANKS, byLoad.length); i++) {
            int hot = byLoad[byLoad.length - i];
            for (int s = 0; s < slots[hot].length; s++) {
                for (Change c : candidateChanges(hot, s, coldest)) {
                    double cost = cost(c);
                    if (cost < lowestCost) {
                        lowestCost = cost;
                        best = c;
                    }
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private int[] ranksByLoad() {
        return IntStream.range(0, rankTimes.length)
                .boxed()
                .sorted(Comparator.comparingDouble(r -> rankTimes[r]))
                .mapToInt(Integer::intValue)
                .toArray();
    }

    /** Returns the possible changes that take load off one slot of a rank. */
    private List<Change> candidateChanges(int hot, int slot, int[] coldest) {
        int e = slots[hot][slot];
        List<Change> list = new ArrayList<>();
        if (e == FREE) {
            return list;
        }
        if (replicas[e] > 1) {
            list.add(Change.single(hot, slot, FREE));
        }
        for (int r : coldest) {
            if (r == hot || held[r][e] || !canAdd(r, e)) {
                continue;
            }
            for (int q = 0; q < slots[r].length; q++) {
                int v = slots[r][q];
                if (v == FREE || replicas[v] > 1) {
                    list.add(Change.single(r, q, e));
                }
                if (v == FREE || !held[hot][v] && canAdd(hot, v)) {
                    list.add(new Change(r, q, e, hot, slot, v));
                }
            }
        }
        return list;
    }

    private boolean canAdd(int rank, int expert) {
        return initiallyHeld[rank][expert] || added[rank] < maxNewPerRank;
    }

    private double cost(Change c) {
        int before = slots[c.rank()][c.slot()];
        apply(c);
        double cost = norm();
        if (c.otherRank() != FREE) {
            setSlot(c.otherRank(), c.otherSlot(), c.expert());
        }
        setSlot(c.rank(), c.slot(), before);
        return cost;
    }

    private void apply(Change c) {
        setSlot(c.rank(), c.slot(), c.expert());
        if (c.otherRank() != FREE) {
            setSlot(c.otherRank(), c.otherSlot(), c.otherExpert());
        }
    }

    private void setSlot(int rank, int slot, int expert) {
        int old = slots[rank][slot];
        if (old != FREE) {
            removeReplica(rank, old);
        }
        slots[rank][slot] = expert;
        if (expert != FREE) {
            addReplica(rank, expert);
        }
    }

    private void addReplica(int rank, int e) {
        held[rank][e] = true;
        added[rank] += initiallyHeld[rank][e] ? 0 : 1;
        double before = replicaLoad(e);
        holders[e][replicas[e]++] = rank;
        for (int i = 0; i < replicas[e] - 1; i++) {
            addLoad(holders[e][i], replicaLoad(e) - before);
        }
        addLoad(rank, replicaLoad(e));
    }

    private void removeReplica(int rank, int e) {
        held[rank][e] = false;
        added[rank] -= initiallyHeld[rank][e] ? 0 : 1;
        double before = replicaLoad(e);
        replicas[e]--;
        int position = 0;
        while (holders[e][position] != rank) {
            position++;
        }
        holders[e][position] = holders[e][replicas[e]];
        for (int i = 0; i < replicas[e]; i++) {
            addLoad(holders[e][i], replicaLoad(e) - before);
        }
        addLoad(rank, -before);
    }

    private double replicaLoad(int e) {
        return replicas[e] == 0 ? 0 : loads.expertLoads()[e] / replicas[e];
    }

    private void addLoad(int rank, double load) {
        normSum -= power(rankTimes[rank]);
        rankTimes[rank] += load / loads.rankSpeeds()[rank];
        normSum += power(rankTimes[rank]);
    }

    /** Computes the rank times and their norm anew, so that rounding errors of the increments don't add up. */
    private void updateRankTimes() {
        normSum = 0;
        for (int r = 0; r < rankTimes.length; r++) {
            rankTimes[r] = 0;
            for (int e : slots[r]) {
                rankTimes[r] += e == FREE ? 0 : replicaLoad(e);
            }
            rankTimes[r] /= loads.rankSpeeds()[r];
            normSum += power(rankTimes[r]);
        }
    }

    private double norm() {
        return Math.pow(Math.max(0, normSum), 1.0 / NORM_ORDER);
    }

    private static double power(double rankTime) {
        double square = rankTime * rankTime;
        double fourth = square * square;
        return fourth * fourth;
    }

    private ExpertMap map() {
        int[][] map = new int[slots.length][];
        for (int r = 0; r < map.length; r++) {
            map[r] = Arrays.stream(slots[r]).filter(e -> e != FREE).toArray();
        }
        return ExpertMap.equalShares(map, loads.experts());
    }
}
