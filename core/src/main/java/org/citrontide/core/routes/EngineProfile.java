package org.citrontide.core.routes;

import java.time.Duration;

/**
 * Published speed and sizes of the model engines of one service. Immutable.
 *
 * @param slots requests that one engine processes at once
 * @param memoryTokens tokens that an engine's cache holds
 * @param stepMs time of a token step, ms
 * @param perSequenceMs additional time of a step for each request that is writing, ms
 * @param perContextMs additional time of a step for each 1,000 tokens of context of a writing request, ms
 * @param readTokensPerSecond prompt tokens read in a second
 * @param stride token steps in a pass
 * @param usualAnswerTokens mean tokens of an answer
 * @param usualPromptTokens mean tokens of a prompt
 * @param sets sets of layers with experts of their own, 0 if the engines form no groups
 * @param experts experts in each set
 * @param placesPerRank most experts of a set that one rank holds
 * @param newPerPrepare most experts of a set that one prepared map may bring new to a rank
 * @param expertMegabytes size of one expert
 * @param linkMegabits rate at which a rank copies experts, Mbit/s
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        double stepMs,
        double perSequenceMs,
        double perContextMs,
        double readTokensPerSecond,
        int stride,
        int usualAnswerTokens,
        int usualPromptTokens,
        int sets,
        int experts,
        int placesPerRank,
        int newPerPrepare,
        double expertMegabytes,
        double linkMegabits) {
    private static final double BITS_PER_BYTE = 8;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns the time in which a rank copies experts.
     *
     * @param count experts that are new to it
     * @return time at the full rate of its link
     */
    public Duration copyTime(int count) {
        return Duration.ofNanos((long) (count * expertMegabytes * BITS_PER_BYTE / linkMegabits * NANOS_PER_SECOND));
    }
}
