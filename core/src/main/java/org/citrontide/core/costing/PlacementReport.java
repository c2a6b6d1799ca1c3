package org.citrontide.core.costing;

/**
 * Why a request was placed where it was, and how well the costs of its service were predicted. Immutable.
 *
 * <p>Costs, work and loads are in ms for a plain service and in passes for an engine.
 *
 * @param service name of the service
 * @param route name of the route of the request
 * @param upstream identity of the chosen upstream
 * @param expectedCost expected cost of the request
 * @param inFlight this gateway's attempts in flight at the chosen upstream, without the request
 * @param load load of the chosen upstream with the request
 * @param leastInFlight identity of the open upstream with the fewest attempts in flight
 * @param leastInFlightLoad load that it would have with the request
 * @param remainingWork expected cost of what this gateway has in flight at all upstreams of the service
 * @param samples number of responses from which the expected cost was learned
 * @param sampleAgeMillis age of the last of them in ms
 * @param responses number of responses since the last report
 * @param expectedSum sum of their expected costs
 * @param observedSum sum of their observed costs
 */
public record PlacementReport(
        String service,
        String route,
        String upstream,
        double expectedCost,
        int inFlight,
        double load,
        String leastInFlight,
        double leastInFlightLoad,
        double remainingWork,
        long samples,
        long sampleAgeMillis,
        long responses,
        double expectedSum,
        double observedSum) {}
