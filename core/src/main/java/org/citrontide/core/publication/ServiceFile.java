package org.citrontide.core.publication;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How one service's traffic is treated. Immutable.
 *
 * @param service name of the service
 * @param kind what stands behind the sidecars
 * @param calls rules for calls; the first that covers a call counts
 * @param classes what each urgency class is due
 * @param teamWeights shares of the teams relative to the weight 1 of all others
 * @param limits bounds on requests, queues and retries
 */
public record ServiceFile(
        String service,
        Kind kind,
        List<CallRule> calls,
        Map<Urgency, ClassRule> classes,
        Map<String, Integer> teamWeights,
        Limits limits)
        implements PublishedFile {

    /** What stands behind the sidecars of a service. */
    public enum Kind {
        /** Model engines that stream chat completions. */
        MODEL,
        /** A plain HTTP service. */
        PLAIN
    }

    /**
     * Bounds of one service. Immutable.
     *
     * @param timeout longest time for one request
     * @param queueLength most requests waiting at one sidecar
     * @param slots most requests running at one upstream
     * @param liveSlots slots of these that only live requests take
     * @param retryPercent retries allowed per hundred first attempts
     * @param maxBodyBytes longest request body in bytes
     * @param claimWindow how long an idempotency key is remembered
     */
    public record Limits(
            Duration timeout,
            int queueLength,
            int slots,
            int liveSlots,
            int retryPercent,
            int maxBodyBytes,
            Duration claimWindow) {}

    /** Copies the collections. */
    public ServiceFile {
        calls = List.copyOf(calls);
        classes = Map.copyOf(new EnumMap<>(classes));
        teamWeights = Map.copyOf(teamWeights);
    }

    /**
     * Finds the rule for a call.
     *
     * @param method HTTP method
     * @param path path of the call within the service
     * @return the first rule that covers the call
     */
    public Optional<CallRule> rule(String method, String path) {
        return calls.stream().filter(c -> c.covers(method, path)).findFirst();
    }

    /**
     * Returns the weight of a team.
     *
     * @param team name of the team
     * @return its weight, 1 if the file gives none
     */
    public int weight(String team) {
        return teamWeights.getOrDefault(team, 1);
    }
}
