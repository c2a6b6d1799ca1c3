package org.citrontide.core.publication;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The published settings of a service: how its traffic is admitted, scheduled and limited. Immutable.
 *
 * @param service name of the service
 * @param kind kind of the upstreams behind the sidecars
 * @param calls rules for calls; the first one that matches a call applies
 * @param classes guarantees of each urgency class
 * @param teamWeights weights of the teams; a team without an entry has weight 1
 * @param limits limits on requests, queues and retries
 */
public record ServiceFile(
        String service,
        Kind kind,
        List<CallRule> calls,
        Map<Urgency, ClassRule> classes,
        Map<String, Integer> teamWeights,
        Limits limits)
        implements PublishedFile {

    /** The kind of the upstreams behind the sidecars of a service. */
    public enum Kind {
        /** Inference engines that stream chat completions. */
        MODEL,
        /** A plain HTTP service. */
        PLAIN
    }

    /**
     * The limits of a service. Immutable.
     *
     * @param timeout maximum duration of a request
     * @param queueLength maximum number of requests queued at a sidecar
     * @param slots maximum number of requests running at an upstream
     * @param liveSlots number of those slots reserved for live requests
     * @param retryPercent retry budget in retries per 100 first attempts
     * @param maxBodyBytes maximum size of a request body in bytes
     * @param claimWindow time for which an idempotency key stays claimed
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
     * Returns the rule that applies to a call.
     *
     * @param method HTTP method
     * @param path path of the call within the service
     * @return the first rule that matches the call, or empty if there is none
     */
    public Optional<CallRule> findRule(String method, String path) {
        return calls.stream().filter(c -> c.matches(method, path)).findFirst();
    }

    /**
     * Returns the weight of a team.
     *
     * @param team name of the team
     * @return the weight, 1 if the file sets none
     */
    public int weight(String team) {
        return teamWeights.getOrDefault(team, 1);
    }
}
