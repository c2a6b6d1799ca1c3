package org.citrontide.core.expertmap;

/** Demand for two experts of one set, which change every three seconds. All passes are equally long. */
final class HotExpertDemand implements GroupDemand {
    private static final int PASS_MS = 60;
    private static final int PERIOD_MS = 3000;
    private static final int EXPERTS_PER_SHIFT = 5;
    private static final int HOT_SELECTIONS = 2400;
    private static final int COLD_SELECTIONS = 60;

    private final int ranks;
    private final int experts;
    private final int periodMs;

    HotExpertDemand(int ranks, int experts) {
        this(ranks, experts, PERIOD_MS);
    }

    HotExpertDemand(int ranks, int experts, int periodMs) {
        this.ranks = ranks;
        this.experts = experts;
        this.periodMs = periodMs;
    }

    @Override
    public int sets() {
        return 1;
    }

    @Override
    public int expertsPerSet() {
        return experts;
    }

    @Override
    public void addSelections(int rank, long[] counts, long nowMs) {
        int hot = (int) (nowMs / periodMs * EXPERTS_PER_SHIFT % experts);
        for (int e = 0; e < experts; e++) {
            counts[e] += e == hot || e == (hot + ranks) % experts ? HOT_SELECTIONS : COLD_SELECTIONS;
        }
    }

    @Override
    public long passMs(GroupMap map, boolean isCopying, long nowMs) {
        return PASS_MS;
    }

    @Override
    public long readPauseMs() {
        return 0;
    }
}
