package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Improves the map of one set of experts in small steps, because a rank can take in only a few new experts at a time.
 *
 * <p>The load that it answers: a few experts that suddenly get most of the tokens. A pass lasts as long as its most
 * loaded rank, so the search looks at the few most loaded ranks: it gives one of their experts a further replica,
 * swaps one with another rank, or drops one that others hold as well, whichever relieves the group most.
 *
 * <p>Invariants: every expert stays on at least one rank; no rank holds an expert twice, more than its places, or more
 * new experts than allowed; the tokens of an expert are shared evenly by its replicas. Not thread-safe.
 */
public final class PlacementImprover {
    // High enough that the most loaded rank dominates, low enough that the next ones still count.
    private static final int NORM = 8;
    private static final int HOT_RANKS = 3;
    private static final int FREE = -1;

    private final RankLoads loads;
    private final int newPerRank;
    private final int[][] places;
    private final boolean[][] base;
    private final boolean[][] held;
    private final int[] replicas;
    private final int[] added;

    /**
     * Prepares a search.
     *
     * @param current map in force
     * @param loads loads of the experts and speeds of the ranks
     * @param newPerRank most experts that a rank may take in
     */
    public PlacementImprover(ExpertMap current, RankLoads loads, int newPerRank) {
        this.loads = loads;
        this.newPerRank = newPerRank;
        int ranks = loads.ranks();
        places = new int[ranks][loads.slotsPerRank()];
        base = new boolean[ranks][loads.experts()];
        held = new boolean[ranks][loads.experts()];
        replicas = new int[loads.experts()];
        added = new int[ranks];
        for (int r = 0; r < ranks; r++) {
            Arrays.fill(places[r], FREE);
            for (int p = 0; p < current.experts()[r].length; p++) {
                int e = current.experts()[r][p];
                places[r][p] = e;
                base[r][e] = true;
                held[r][e] = true;
                replicas[e]++;
            }
        }
    }

    /**
     * Searches for a better map.
     *
     * @param maxSteps most changes of a place
     * @param leastGain part by which a change must relieve the most loaded ranks, since each copies an expert
     * @return the best map found, which may be the one in force
     */
    public ExpertMap improved(int maxSteps, double leastGain) {
        for (int i = 0; i < maxSteps; i++) {
            Optional<Change> best = bestChange(leastGain);
            if (best.isEmpty()) {
                break;
            }
            apply(best.get());
        }
        return map();
    }

    /** A change of one place, and of a second one in a swap. */
    private record Change(int rank, int place, int expert, int otherRank, int otherPlace, int otherExpert) {
        private static Change single(int rank, int place, int expert) {
            return new Change(rank, place, expert, FREE, FREE, FREE);
        }
    }

    private Optional<Change> bestChange(double leastGain) {
        double[] work = work();
        double least = norm(work) * (1 - leastGain);
        Change best = null;
        for (int hot : hottest(work)) {
            for (int p = 0; p < places[hot].length; p++) {
                for (Change c : changes(hot, p)) {
                    double cost = cost(c);
                    if (cost < least) {
                        least = cost;
                        best = c;
                    }
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static int[] hottest(double[] work) {
        return IntStream.range(0, work.length)
                .boxed()
                .sorted(Comparator.comparingDouble(r -> -work[r]))
                .limit(HOT_RANKS)
                .mapToInt(Integer::intValue)
                .toArray();
    }

    /** Lists the changes that relieve one place of a rank. */
    private List<Change> changes(int hot, int place) {
        int e = places[hot][place];
        List<Change> list = new ArrayList<>();
        if (e == FREE) {
            return list;
        }
        if (replicas[e] > 1) {
            list.add(Change.single(hot, place, FREE));
        }
        for (int r = 0; r < places.length; r++) {
            if (r == hot || held[r][e] || !mayTake(r, e)) {
                continue;
            }
            for (int q = 0; q < places[r].length; q++) {
                int v = places[r][q];
                if (v == FREE || replicas[v] > 1) {
                    list.add(Change.single(r, q, e));
                }
                if (v == FREE || !held[hot][v] && mayTake(hot, v)) {
                    list.add(new Change(r, q, e, hot, place, v));
                }
            }
        }
        return list;
    }

    private boolean mayTake(int rank, int expert) {
        return base[rank][expert] || added[rank] < newPerRank;
    }

    private double cost(Change c) {
        int before = places[c.rank()][c.place()];
        apply(c);
        double cost = norm(work());
        if (c.otherRank() != FREE) {
            set(c.otherRank(), c.otherPlace(), c.expert());
        }
        set(c.rank(), c.place(), before);
        return cost;
    }

    private void apply(Change c) {
        set(c.rank(), c.place(), c.expert());
        if (c.otherRank() != FREE) {
            set(c.otherRank(), c.otherPlace(), c.otherExpert());
        }
    }

    private void set(int rank, int place, int expert) {
        int old = places[rank][place];
        if (old != FREE) {
            held[rank][old] = false;
            replicas[old]--;
            added[rank] -= base[rank][old] ? 0 : 1;
        }
        places[rank][place] = expert;
        if (expert != FREE) {
            held[rank][expert] = true;
            replicas[expert]++;
            added[rank] += base[rank][expert] ? 0 : 1;
        }
    }

    private double[] work() {
        double[] work = new double[places.length];
        for (int r = 0; r < work.length; r++) {
            for (int e : places[r]) {
                work[r] += e == FREE ? 0 : loads.expertLoads()[e] / replicas[e];
            }
            work[r] /= loads.rankSpeeds()[r];
        }
        return work;
    }

    private static double norm(double[] work) {
        double sum = 0;
        for (double w : work) {
            double square = w * w;
            double fourth = square * square;
            sum += fourth * fourth;
        }
        return Math.pow(sum, 1.0 / NORM);
    }

    private ExpertMap map() {
        int[][] map = new int[places.length][];
        for (int r = 0; r < map.length; r++) {
            map[r] = Arrays.stream(places[r]).filter(e -> e != FREE).toArray();
        }
        return ExpertMap.equalShares(map, loads.experts());
    }
}
