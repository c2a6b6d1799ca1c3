package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.citrontide.core.routes.Route;

/**
 * The properties of a request that dispatch decisions depend on. Immutable.
 *
 * @param id number of the request, unique within a process
 * @param route route of the request
 * @param service service that receives the request, one of the route's
 * @param team name of the caller's team, empty if the route needs no key
 * @param rank rank in the admission order, 0 first
 * @param promptTokens number of prompt tokens, 0 if there is no prompt
 * @param completionTokens expected number of completion tokens, 0 if there is no completion
 * @param sharedParts identifiers of the prompt's parts in their order, without the last part, which belongs to this
 *     request or its session alone
 * @param waited estimated time that the caller had waited before this request arrived
 * @param arrivedNanos monotonic time of arrival in ns
 * @param deadlineNanos monotonic time in ns by which the final response is due
 * @param teamRegions regions of the upstreams that the requests of the team may go to, empty for all
 */
public record GatewayRequest(
        long id,
        Route route,
        String service,
        String team,
        int rank,
        int promptTokens,
        int completionTokens,
        List<String> sharedParts,
        Duration waited,
        long arrivedNanos,
        long deadlineNanos,
        Set<String> teamRegions) {
    // Ranks late requests behind all that can still be on time; the platform distinguishes ten ranks.
    private static final int LATE_RANK_OFFSET = 3;

    /** Copies the collections. */
    public GatewayRequest {
        sharedParts = List.copyOf(sharedParts);
        teamRegions = Set.copyOf(teamRegions);
    }

    /**
     * Creates a request whose team may use the upstreams of all regions.
     *
     * @param id number of the request, unique within a process
     * @param route route of the request
     * @param service service that receives the request, one of the route's
     * @param team name of the caller's team, empty if the route needs no key
     * @param rank rank in the admission order, 0 first
     * @param promptTokens number of prompt tokens, 0 if there is no prompt
     * @param completionTokens expected number of completion tokens, 0 if there is no completion
     * @param sharedParts identifiers of the prompt's parts in their order, without the last part
     * @param waited estimated time that the caller had waited before this request arrived
     * @param arrivedNanos monotonic time of arrival in ns
     * @param deadlineNanos monotonic time in ns by which the final response is due
     */
    public GatewayRequest(
            long id,
            Route route,
            String service,
            String team,
            int rank,
            int promptTokens,
            int completionTokens,
            List<String> sharedParts,
            Duration waited,
            long arrivedNanos,
            long deadlineNanos) {
        this(
                id,
                route,
                service,
                team,
                rank,
                promptTokens,
                completionTokens,
                sharedParts,
                waited,
                arrivedNanos,
                deadlineNanos,
                Set.of());
    }

    /**
     * Returns whether the route or the team restricts the regions of the upstreams.
     *
     * @return false if the upstreams of all regions may be used
     */
    public boolean isRegional() {
        return !route.allowedRegions().isEmpty() || !teamRegions.isEmpty();
    }

    /**
     * Returns whether the response can no longer be on time.
     *
     * @param nowNanos monotonic time in ns
     * @return true if the caller has waited longer than the target latency of the route
     */
    public boolean isLate(long nowNanos) {
        return waited.toNanos() + nowNanos - arrivedNanos > route.target().toNanos();
    }

    /**
     * Returns the rank in the admission order of an upstream. After an outage this ranks the retries of many callers
     * after new requests that can still be served on time.
     *
     * @param nowNanos monotonic time in ns
     * @return rank, 0 first
     */
    public int admissionRank(long nowNanos) {
        return isLate(nowNanos) ? rank + LATE_RANK_OFFSET : rank;
    }
}
