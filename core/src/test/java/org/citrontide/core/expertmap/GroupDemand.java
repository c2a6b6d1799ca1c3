package org.citrontide.core.expertmap;

/** Demand of the requests of a {@link FakeGroup} for experts, in virtual time. */
interface GroupDemand {

    /** Returns the number of sets of layers. */
    int sets();

    /** Returns the number of experts in each set. */
    int expertsPerSet();

    /** Adds the selections that the requests of one rank make in a pass, set by set. */
    void addSelections(int rank, long[] counts, long nowMs);

    /** Returns the duration of a pass in ms under a map, while ranks copy experts or not. */
    long passMs(GroupMap map, boolean isCopying, long nowMs);

    /** Returns the time in ms for which a read of the counts of one rank pauses the group. */
    long readPauseMs();

    /** Returns the time in ms in which each rank copies at most the given number of experts. */
    default long copyMs(int mostNewExperts) {
        return 60;
    }

    /** Returns the number of requests that each rank runs. */
    default int running() {
        return 0;
    }
}
