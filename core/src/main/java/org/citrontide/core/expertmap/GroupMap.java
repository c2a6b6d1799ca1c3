package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Expert maps of all layer sets of a group, under one version. Immutable.
 *
 * @param version number of the map, unique within an epoch of the group
 * @param sets one map for each set
 */
public record GroupMap(long version, List<ExpertMap> sets) {

    /** Creates a map with a copy of the list. */
    public GroupMap {
        sets = List.copyOf(sets);
    }

    /**
     * Returns the map of a newly formed group, with the experts assigned to the ranks round-robin.
     *
     * @param sets number of layer sets
     * @param experts number of experts in each set
     * @param ranks number of ranks of the group
     * @return the map, with version 0
     */
    public static GroupMap initial(int sets, int experts, int ranks) {
        int[][] assigned = new int[ranks][];
        for (int r = 0; r < ranks; r++) {
            int first = r;
            int count = first < experts ? (experts - first - 1) / ranks + 1 : 0;
            assigned[r] = new int[count];
            for (int i = 0; i < count; i++) {
                assigned[r][i] = first + i * ranks;
            }
        }
        List<ExpertMap> maps = new ArrayList<>();
        for (int s = 0; s < sets; s++) {
            maps.add(ExpertMap.equalShares(assigned, experts));
        }
        return new GroupMap(0, maps);
    }

    /**
     * Creates a map from the experts that each rank holds; the replicas of an expert get equal shares.
     *
     * @param version number of the map
     * @param byRank experts of each rank, indexed by set
     * @param experts number of experts in each set
     * @return the map
     */
    public static GroupMap fromRanks(long version, List<int[][]> byRank, int experts) {
        List<ExpertMap> maps = new ArrayList<>();
        int sets = byRank.getFirst().length;
        for (int s = 0; s < sets; s++) {
            int[][] set = new int[byRank.size()][];
            for (int r = 0; r < set.length; r++) {
                set[r] = byRank.get(r)[s];
            }
            maps.add(ExpertMap.equalShares(set, experts));
        }
        return new GroupMap(version, maps);
    }

    /**
     * Returns the expert time of a pass: the sum over the sets of the time on the most loaded rank.
     *
     * @param loads loads of each set
     * @return time in units of the time that a healthy rank needs for one unit of load
     */
    public double passTime(List<RankLoads> loads) {
        double time = 0;
        for (int s = 0; s < sets.size(); s++) {
            time += sets.get(s).stepTime(loads.get(s));
        }
        return time;
    }

    /**
     * Returns the load of the most loaded rank relative to the mean rank, averaged over the sets.
     *
     * @param loads loads of each set
     * @return at least 1
     */
    public double skew(List<RankLoads> loads) {
        double sum = 0;
        for (int s = 0; s < sets.size(); s++) {
            sum += sets.get(s).skew(loads.get(s));
        }
        return sum / sets.size();
    }

    /**
     * Returns the largest number of experts, summed over the sets, that a rank must copy to switch to this map.
     *
     * @param from map in force
     * @return number of experts that the rank with the most copies must load
     */
    public int maxNewExpertsPerRank(GroupMap from) {
        int most = 0;
        for (int r = 0; r < sets.getFirst().experts().length; r++) {
            most = Math.max(most, newExpertsOfRank(from, r));
        }
        return most;
    }

    /**
     * Returns the number of experts that all ranks together must copy to switch to this map.
     *
     * @param from map in force
     * @return sum over the ranks and sets
     */
    public int newExperts(GroupMap from) {
        int sum = 0;
        for (int r = 0; r < sets.getFirst().experts().length; r++) {
            sum += newExpertsOfRank(from, r);
        }
        return sum;
    }

    /**
     * Returns the number of experts, summed over the sets, that a rank must copy to switch to this map.
     *
     * @param from map in force
     * @param rank index of the rank
     * @return number of experts
     */
    public int newExpertsOfRank(GroupMap from, int rank) {
        int sum = 0;
        for (int s = 0; s < sets.size(); s++) {
            int[] old = from.sets.get(s).experts()[rank];
            for (int e : sets.get(s).experts()[rank]) {
                sum += contains(old, e) ? 0 : 1;
            }
        }
        return sum;
    }

    /**
     * Returns whether a rank holds the same experts in this map.
     *
     * @param rank index of the rank
     * @param experts experts by set, in any order
     * @return whether the experts are those of the rank in each set
     */
    public boolean hasExpertsOfRank(int rank, int[][] experts) {
        if (experts.length != sets.size()) {
            return false;
        }
        for (int s = 0; s < experts.length; s++) {
            int[] own = sets.get(s).experts()[rank].clone();
            int[] other = experts[s].clone();
            Arrays.sort(own);
            Arrays.sort(other);
            if (!Arrays.equals(own, other)) {
                return false;
            }
        }
        return true;
    }

    private static boolean contains(int[] list, int e) {
        for (int x : list) {
            if (x == e) {
                return true;
            }
        }
        return false;
    }
}
