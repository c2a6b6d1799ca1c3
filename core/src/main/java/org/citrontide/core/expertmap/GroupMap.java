package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;

/**
 * The expert maps of all sets of layers of a group, under one version. Immutable.
 *
 * @param version number of the map, never used for two maps in one epoch of a group
 * @param sets one map for each set
 */
public record GroupMap(long version, List<ExpertMap> sets) {

    /** Copies the list. */
    public GroupMap {
        sets = List.copyOf(sets);
    }

    /**
     * Returns the map of a group that has just formed, which deals the experts out in turn.
     *
     * @param sets sets of layers
     * @param experts experts in each set
     * @param ranks ranks of the group
     * @return map 0
     */
    public static GroupMap initial(int sets, int experts, int ranks) {
        int[][] dealt = new int[ranks][];
        for (int r = 0; r < ranks; r++) {
            int first = r;
            int count = first < experts ? (experts - first - 1) / ranks + 1 : 0;
            dealt[r] = new int[count];
            for (int i = 0; i < count; i++) {
                dealt[r][i] = first + i * ranks;
            }
        }
        List<ExpertMap> maps = new ArrayList<>();
        for (int s = 0; s < sets; s++) {
            maps.add(ExpertMap.equalShares(dealt, experts));
        }
        return new GroupMap(0, maps);
    }

    /**
     * Builds a map from the lists of its ranks.
     *
     * @param version number of the map
     * @param byRank experts of each rank, by set
     * @param experts experts in each set
     * @return the map
     */
    public static GroupMap ofLists(long version, List<int[][]> byRank, int experts) {
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
     * Returns the time of a pass that the experts take, set by set on the most loaded rank.
     *
     * @param loads loads of each set
     * @return time in units of a healthy rank's time for one token
     */
    public double passTime(List<RankLoads> loads) {
        double time = 0;
        for (int s = 0; s < sets.size(); s++) {
            time += sets.get(s).stepTime(loads.get(s));
        }
        return time;
    }

    /**
     * Returns the mean over the sets of the most loaded rank relative to the mean rank.
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
     * Returns the most experts, over all sets together, that one rank must copy to get here.
     *
     * @param from map in force
     * @return experts of the rank with the most
     */
    public int mostNewOnOneRank(GroupMap from) {
        int most = 0;
        for (int r = 0; r < sets.getFirst().experts().length; r++) {
            int sum = 0;
            for (int s = 0; s < sets.size(); s++) {
                int[] old = from.sets.get(s).experts()[r];
                for (int e : sets.get(s).experts()[r]) {
                    sum += contains(old, e) ? 0 : 1;
                }
            }
            most = Math.max(most, sum);
        }
        return most;
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
