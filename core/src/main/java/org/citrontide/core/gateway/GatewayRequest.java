package org.citrontide.core.gateway;

import org.citrontide.core.routes.Route;

/**
 * What decisions need to know of a caller's request. Immutable.
 *
 * @param id number of the request, never used twice in a process
 * @param route its route
 * @param service service that it goes to, one of the route's
 * @param team name of the caller's team, empty if the route needs no key
 * @param rank order of admission, 0 first
 * @param promptTokens tokens of the prompt, 0 if it has none
 * @param answerTokens tokens expected in the answer, 0 if it has none
 * @param arrivedNanos monotonic time of its arrival, ns
 * @param deadlineNanos monotonic time at which its final answer is due, ns
 */
public record GatewayRequest(
        long id,
        Route route,
        String service,
        String team,
        int rank,
        int promptTokens,
        int answerTokens,
        long arrivedNanos,
        long deadlineNanos) {}
