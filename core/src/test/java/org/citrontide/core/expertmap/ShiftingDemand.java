package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.routes.EngineProfile;

/**
 * Demand of a fully loaded group whose requests have one of several topics, and whose popular experts change every few
 * seconds. A pass lasts as the published step model says, with the most loaded rank of each set.
 */
final class ShiftingDemand implements GroupDemand {
    /** Time between two shifts in ms. */
    static final int SHIFT_PERIOD_MS = 2070;

    private static final int TOPICS = 9;
    private static final double ZIPF_EXPONENT = 0.52;
    private static final double COMMON_SHARE = 0.65;
    private static final double SHIFTED_FRACTION = 0.8;
    private static final double EXPERT_SHARE = 0.85;
    private static final double COPY_SLOWDOWN = 1.15;
    private static final int SELECTIONS_PER_TOKEN = 8;
    private static final int EVENTS_PER_REQUEST = 23;
    private static final double PAUSE_MS_PER_COUNT = 0.5 / 400;

    /**
     * How the demand develops.
     *
     * @param shiftTimesMs times at which the demand shifts to other experts, ascending
     * @param shiftedFraction probability that an expert exchanges its popularity at a shift
     * @param running requests that each rank runs outside of bursts
     * @param burstPeriodMs time between the starts of two bursts that fill all slots, 0 for none
     */
    record Course(List<Integer> shiftTimesMs, double shiftedFraction, int running, int burstPeriodMs) {}

    private static final int BURST_MS = 4000;

    private final EngineProfile profile;
    private final Optional<Course> course;
    private final SplittableRandom random;
    private final double[] speeds;
    private final int[][] topicsByRank;
    private final int[] newPromptsByRank;
    /** Popularity of each expert, by set, by topic. */
    private final double[][][] popularity;

    private List<RankLoads> loads;
    private long shifts;
    private int running;

    ShiftingDemand(EngineProfile profile, int ranks, long seed) {
        this(profile, ranks, seed, Optional.empty());
    }

    /** Creates demand with a course; only the ranks that the controller samples count their selections. */
    ShiftingDemand(EngineProfile profile, int ranks, long seed, Course course) {
        this(profile, ranks, seed, Optional.of(course));
    }

    private ShiftingDemand(EngineProfile profile, int ranks, long seed, Optional<Course> course) {
        this.profile = profile;
        this.course = course;
        this.running = course.map(Course::running).orElse(profile.slots());
        this.random = new SplittableRandom(seed);
        this.speeds = new double[ranks];
        Arrays.fill(speeds, 1);
        this.newPromptsByRank = new int[ranks];
        this.topicsByRank = new int[ranks][profile.slots()];
        for (int[] topics : topicsByRank) {
            Arrays.setAll(topics, i -> random.nextInt(TOPICS));
        }
        this.popularity = new double[profile.expertSets()][][];
        for (int s = 0; s < popularity.length; s++) {
            popularity[s] = popularityOfSet();
        }
        updateLoads();
    }

    @Override
    public int sets() {
        return profile.expertSets();
    }

    @Override
    public int expertsPerSet() {
        return profile.expertsPerSet();
    }

    @Override
    public void addSelections(int rank, long[] counts, long nowMs) {
        shiftIfDue(nowMs);
        int[] topics = topicsByRank[rank];
        newPromptsByRank[rank] = 0;
        boolean isCounted = course.isEmpty() || rank == 0 || rank == topicsByRank.length / 2;
        for (int i = 0; i < running; i++) {
            addTokens(topics[i], isCounted ? profile.stepsPerPass() : 0, counts);
            if (random.nextInt(EVENTS_PER_REQUEST) == 0) {
                topics[i] = random.nextInt(TOPICS);
                addTokens(topics[i], isCounted ? profile.meanPromptTokens() : 0, counts);
                newPromptsByRank[rank]++;
            }
        }
    }

    @Override
    public long passMs(GroupMap map, boolean isCopying, long nowMs) {
        shiftIfDue(nowMs);
        double decodeMs = profile.stepsPerPass() * (profile.stepMs() + profile.stepMsPerSequence() * running);
        double maxPrefillMs = prefillMs(Arrays.stream(newPromptsByRank).max().orElse(0));
        double meanPrefillMs =
                prefillMs(Arrays.stream(newPromptsByRank).average().orElse(0));
        double ownMs = (1 - EXPERT_SHARE) * (decodeMs + maxPrefillMs);
        double expertMs = EXPERT_SHARE * (decodeMs + meanPrefillMs) * map.skew(loads);
        return Math.round((ownMs + expertMs) * (isCopying ? COPY_SLOWDOWN : 1));
    }

    @Override
    public long readPauseMs() {
        return Math.round(PAUSE_MS_PER_COUNT * sets() * expertsPerSet());
    }

    @Override
    public long copyMs(int mostNewExperts) {
        return course.isEmpty()
                ? GroupDemand.super.copyMs(mostNewExperts)
                : profile.expertCopyTime(mostNewExperts).toMillis();
    }

    @Override
    public int running() {
        return running;
    }

    /** Returns the true loads of each set at a time that is not earlier than that of any previous call. */
    List<RankLoads> loadsAt(long nowMs) {
        shiftIfDue(nowMs);
        return loads;
    }

    private double prefillMs(double prompts) {
        return prompts * profile.meanPromptTokens() / profile.prefillTokensPerSecond() * 1000;
    }

    private double[][] popularityOfSet() {
        double[][] byTopic = new double[TOPICS][];
        double[] common = zipf();
        for (int t = 0; t < TOPICS; t++) {
            double[] own = zipf();
            byTopic[t] = new double[own.length];
            Arrays.setAll(byTopic[t], e -> COMMON_SHARE * common[e] + (1 - COMMON_SHARE) * own[e]);
        }
        return byTopic;
    }

    private double[] zipf() {
        double[] p = new double[expertsPerSet()];
        Arrays.setAll(p, i -> Math.pow(i + 1, -ZIPF_EXPONENT));
        double sum = Arrays.stream(p).sum();
        Arrays.setAll(p, i -> p[i] / sum);
        for (int i = p.length - 1; i > 0; i--) {
            swap(p, i, random.nextInt(i + 1));
        }
        return p;
    }

    private void shiftIfDue(long nowMs) {
        if (course.isPresent() && course.get().burstPeriodMs() > 0) {
            int period = course.get().burstPeriodMs();
            boolean isBurst = nowMs >= period && nowMs % period < BURST_MS;
            running = isBurst ? profile.slots() : course.get().running();
        }
        long due = course.map(
                        c -> c.shiftTimesMs().stream().filter(t -> t <= nowMs).count())
                .orElse(nowMs / SHIFT_PERIOD_MS);
        if (due == shifts) {
            return;
        }
        shifts = due;
        for (double[][] byTopic : popularity) {
            for (int e = 0; e < expertsPerSet(); e++) {
                if (random.nextDouble() < course.map(Course::shiftedFraction).orElse(SHIFTED_FRACTION)) {
                    int other = random.nextInt(expertsPerSet());
                    int expert = e;
                    Arrays.stream(byTopic).forEach(p -> swap(p, expert, other));
                }
            }
        }
        updateLoads();
    }

    private void updateLoads() {
        loads = new ArrayList<>();
        for (double[][] byTopic : popularity) {
            double[] mean = new double[expertsPerSet()];
            Arrays.setAll(
                    mean,
                    e -> Arrays.stream(byTopic).mapToDouble(p -> p[e]).average().orElse(0));
            loads.add(new RankLoads(mean, speeds, profile.maxExpertsPerRank()));
        }
    }

    private void addTokens(int topic, int tokens, long[] counts) {
        for (int s = 0; s < popularity.length && tokens > 0; s++) {
            double[] p = popularity[s][topic];
            for (int e = 0; e < p.length; e++) {
                counts[s * p.length + e] +=
                        Math.round(tokens * SELECTIONS_PER_TOKEN * p[e] + random.nextDouble() - 0.5);
            }
        }
    }

    private static void swap(double[] p, int i, int j) {
        double first = p[i];
        p[i] = p[j];
        p[j] = first;
    }
}
