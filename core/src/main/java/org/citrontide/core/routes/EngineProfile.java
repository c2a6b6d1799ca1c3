package org.citrontide.core.routes;

import java.time.Duration;

/**
 * The published performance and capacity of the model engines of one service. Immutable.
 *
 * @param slots requests that one engine processes concurrently
 * @param kvCacheTokens capacity of an engine's key-value cache in tokens
 * @param stepMs base duration of a token step in ms
 * @param stepMsPerSequence additional duration of a step for each decoding request in ms
 * @param stepMsPerKiloContext additional duration of a step for each 1,000 context tokens of a decoding request in ms
 * @param prefillTokensPerSecond prefill rate in prompt tokens per second
 * @param stepsPerPass token steps per pass
 * @param meanCompletionTokens mean number of completion tokens
 * @param meanPromptTokens mean number of prompt tokens
 * @param expertSets number of layer sets with their own experts, 0 if the engines form no groups
 * @param expertsPerSet number of experts in each set
 * @param maxExpertsPerRank maximum number of experts of a set on one rank
 * @param maxNewExpertsPerPrepare maximum number of experts of a set that one prepared map may add to a rank
 * @param expertMegabytes size of one expert in MB
 * @param linkMegabitsPerSecond rate at which a rank copies experts in Mbit/s
 */
public record EngineProfile(
        int slots,
        long kvCacheTokens,
        double stepMs,
        double stepMsPerSequence,
        double stepMsPerKiloContext,
        double prefillTokensPerSecond,
        int stepsPerPass,
        int meanCompletionTokens,
        int meanPromptTokens,
        int expertSets,
        int expertsPerSet,
        int maxExpertsPerRank,
        int maxNewExpertsPerPrepare,
        double expertMegabytes,
        double linkMegabitsPerSecond) {
    private static final double BITS_PER_BYTE = 8;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns the time that a rank needs to copy experts.
     *
     * @param count number of experts to copy
     * @return duration at the full rate of the link
     */
    public Duration expertCopyTime(int count) {
        return Duration.ofNanos(
                (long) (count * expertMegabytes * BITS_PER_BYTE / linkMegabitsPerSecond * NANOS_PER_SECOND));
    }
}
