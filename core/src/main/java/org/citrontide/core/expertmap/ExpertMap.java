package org.citrontide.core.expertmap;

import java.util.Arrays;

/**
 * Assignment of experts to the slots of the ranks, with the share of an expert's tokens that each replica processes.
 * Immutable; the arrays must not be changed.
 *
 * @param experts the experts of each rank, in slot order
 * @param shares the share of the expert's tokens for each slot; the shares of an expert add up to 1
 */
public record ExpertMap(int[][] experts, double[][] shares) {

    /**
     * Assigns experts to ranks round-robin, without regard to load.
     *
     * @param expertCount number of experts
     * @param ranks number of ranks
     * @param slotsPerRank number of slots of each rank
     * @return a map that fills all slots, with equal shares for the replicas of an expert
     */
    public static ExpertMap roundRobin(int expertCount, int ranks, int slotsPerRank) {
        int[][] map = new int[ranks][slotsPerRank];
        for (int r = 0; r < ranks; r++) {
            for (int s = 0; s < slotsPerRank; s++) {
                map[r][s] = (s * ranks + r) % expertCount;
            }
        }
        return equalShares(map, expertCount);
    }

    static ExpertMap equalShares(int[][] experts, int expertCount) {
        int[] replicas = new int[expertCount];
        Arrays.stream(experts).flatMapToInt(Arrays::stream).forEach(e -> replicas[e]++);
        double[][] shares = new double[experts.length][];
        for (int r = 0; r < experts.length; r++) {
            shares[r] = Arrays.stream(experts[r])
                    .mapToDouble(e -> 1.0 / replicas[e])
                    .toArray();
        }
        return new ExpertMap(experts, shares);
    }

    /**
     * Returns the time of a step on the slowest rank relative to the mean of all ranks.
     *
     * @param loads loads of the experts and speeds of the ranks
     * @return at least 1
     */
    public double skew(RankLoads loads) {
        double[] rankTimes = rankTimes(loads);
        double sum = Arrays.stream(rankTimes).sum();
        double max = Arrays.stream(rankTimes).max().orElse(0);
        return sum == 0 ? 1 : max * rankTimes.length / sum;
    }

    /**
     * Returns the time of a step on the slowest rank.
     *
     * @param loads loads of the experts and speeds of the ranks
     * @return time in units of the time that a healthy rank needs for one unit of load
     */
    public double stepTime(RankLoads loads) {
        return Arrays.stream(rankTimes(loads)).max().orElse(0);
    }

    /**
     * Counts the experts whose weights must be loaded to switch to this map from another one.
     *
     * @param from the other map
     * @return number of experts that a rank holds in this map and not in the other one, summed over the ranks
     */
    public int countMovesFrom(ExpertMap from) {
        int moves = 0;
        for (int r = 0; r < experts.length; r++) {
            int[] old = from.experts[r].clone();
            Arrays.sort(old);
            for (int e : experts[r]) {
                moves += Arrays.binarySearch(old, e) < 0 ? 1 : 0;
            }
        }
        return moves;
    }

    private double[] rankTimes(RankLoads loads) {
        double[] rankTimes = new double[experts.length];
        for (int r = 0; r < experts.length; r++) {
            for (int s = 0; s < experts[r].length; s++) {
                rankTimes[r] += loads.expertLoads()[experts[r][s]] * shares[r][s];
            }
            rankTimes[r] /= loads.rankSpeeds()[r];
        }
        return rankTimes;
    }
}
